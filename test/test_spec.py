"""The core protocol's rules, explored exhaustively in bounded sizes.

Each rule that carries safety is also switched off: the checker must then find a
counterexample, or the rule would not be needed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from spec import (
    bundle,
    claim,
    explore,
    generation,
    grant,
    hedge,
    hint,
    lease,
    limit,
    limit_share,
    release_history,
    run,
    stream_origin,
    version,
)

Check = Callable[[Any], explore.Verdict]

HOLDS: list[tuple[Check, Any]] = [
    (grant.check, grant.Rules()),
    (claim.check, claim.Rules()),
    (claim.check, claim.Rules(attempts=3, copies=1)),
    (bundle.check, bundle.Rules()),
    (lease.check, lease.Rules()),
    (lease.check, lease.Rules(check_flight=False, wait_flight=True, until=4)),
    (version.check, version.Rules()),
    (limit.check, limit.Rules()),
    (limit_share.check, limit_share.Rules()),
    (run.check, run.Rules()),
    (generation.check, generation.Rules()),
    (hint.check, hint.Rules()),
    (stream_origin.check, stream_origin.Rules()),
    (release_history.check, release_history.Rules()),
    (hedge.check, hedge.Rules()),
]

BREAKS: list[tuple[Check, Any, str]] = [
    (grant.check, grant.Rules(dispatch_once=False), "dispatched_at_most_once"),
    (grant.check, grant.Rules(never_resend=False), "dispatched_at_most_once"),
    (grant.check, grant.Rules(end_is_final=False), "not_run_is_true"),
    (claim.check, claim.Rules(read_back=False), "runs_at_most_once"),
    (claim.check, claim.Rules(promise=False), "not_run_is_true"),
    (claim.check, claim.Rules(void_released=False), "no_released_holder"),
    (claim.check, claim.Rules(release_unrun=False), "runs_at_most_once"),
    (
        bundle.check,
        bundle.Rules(wait_for_checkpoint=False, records=4),
        "reader_agrees",
    ),
    (bundle.check, bundle.Rules(joined=False, records=4), "reader_agrees"),
    (bundle.check, bundle.Rules(replay=False, records=4), "reader_agrees"),
    (
        lease.check,
        lease.Rules(check_flight=False, until=4),
        "no_stale_order",
    ),
    (lease.check, lease.Rules(wait_term=False, until=4), "no_stale_order"),
    (lease.check, lease.Rules(void_late=False, until=4), "no_stale_order"),
    (version.check, version.Rules(only_rise=False), "never_reverts"),
    (version.check, version.Rules(left_is_final=False), "left_stays_away"),
    (run.check, run.Rules(left_is_final=False), "left_stays_away"),
    (run.check, run.Rules(earlier_ignored=False), "latest_run_only"),
    # What the code did until this was modelled: a replica that had left and
    # started again under its name was never used again.
    (run.check, run.Rules(runs_apart=False), "new_run_is_used"),
    # What the code did until this was modelled: a place was an offset alone.
    (
        generation.check,
        generation.Rules(places_are_pairs=False),
        "at_the_end_knows_the_newest",
    ),
    (
        generation.check,
        generation.Rules(reads_anew=False),
        "at_the_end_knows_the_newest",
    ),
    (limit.check, limit.Rules(count_lost=False), "limit_holds"),
    # What the code did until this was modelled: a VM that restarts alone on
    # its side of a cut forgot its seeds after four seconds.
    (limit.check, limit.Rules(count_seeds=False), "limit_holds"),
    (
        limit.check,
        limit.Rules(count_seeds=False, count_seeds_at_first=False),
        "limit_holds",
    ),
    *(
        (limit_share.check, rules, "limit_holds")
        for rules in limit_share.list_share_rules()
    ),
    # No sender can prevent this one; see docs/design/lease.md.
    (lease.check, lease.Rules(pause=True, until=4), "no_reordered_order"),
    (
        hint.check,
        hint.Rules(check_at_send=False),
        "nothing_to_a_leaving_server",
    ),
    (hint.check, hint.Rules(is_final=False), "nothing_to_a_leaving_server"),
    (
        hint.check,
        hint.Rules(return_is_free=False),
        "only_what_is_sent_is_an_attempt",
    ),
    (
        stream_origin.check,
        stream_origin.Rules(record_first_event=False),
        "one_release",
    ),
    (
        stream_origin.check,
        stream_origin.Rules(refuse_unknown=False),
        "one_release",
    ),
    (
        stream_origin.check,
        stream_origin.Rules(bind_attempts=False),
        "one_release",
    ),
    (
        stream_origin.check,
        stream_origin.Rules(check_grant=False),
        "one_release",
    ),
    (
        release_history.check,
        release_history.Rules(confirm=False),
        "own_release",
    ),
    (
        release_history.check,
        release_history.Rules(remember=False),
        "own_release",
    ),
    (
        release_history.check,
        release_history.Rules(complete=False),
        "own_release",
    ),
    (
        release_history.check,
        release_history.Rules(overlap=False),
        "own_release",
    ),
    (hedge.check, hedge.Rules(leave_first=False), "one_writer"),
    (hedge.check, hedge.Rules(leave_first=False), "in_order"),
    (hedge.check, hedge.Rules(leave_first=False), "whole_if_complete"),
    # What the code did until this was modelled: a series that was left wrote
    # what had arrived.
    (hedge.check, hedge.Rules(check_left=False), "one_writer"),
    (hedge.check, hedge.Rules(check_left=False), "in_order"),
    (hedge.check, hedge.Rules(resume=False), "in_order"),
    (hedge.check, hedge.Rules(end_with_last=False), "ends_with_last"),
    (hedge.check, hedge.Rules(forget_ended=False), "ends_if_none_runs"),
    # What the code did until this was modelled: two series that broke at the
    # same time each left the answer to the other.
    (hedge.check, hedge.Rules(check_other=False), "ends_only_if_denied"),
    (hedge.check, hedge.Rules(conceded_is_unknown=False), "not_run_is_true"),
    (hedge.check, hedge.Rules(count_others=False), "at_most_max_attempts"),
    (hedge.check, hedge.Rules(count_others=False), "not_run_is_true"),
    (hedge.check, hedge.Rules(fork_may_have_run=False), "not_run_is_true"),
    (
        hedge.check,
        hedge.Rules(return_reserved=False),
        "retry_is_settled_once",
    ),
    (hedge.check, hedge.Rules(use_once=False), "retry_is_settled_once"),
]


def name_value(value: Any) -> str:
    """Returns a name that is the same in all processes that run the tests."""
    return value.__module__ if callable(value) else str(value)


@pytest.mark.parametrize(("check", "rules"), HOLDS, ids=name_value)
def test_rules_hold(
    check: Check, rules: Any, capsys: pytest.CaptureFixture[str]
) -> None:
    verdict = check(rules)
    with capsys.disabled():
        print(f"\n{check.__module__} {rules}: {verdict.states} states")
    assert verdict.broken == {}
    assert verdict.states > 100


@pytest.mark.parametrize(
    ("check", "rules", "invariant"), BREAKS, ids=name_value
)
def test_rule_is_needed(check: Check, rules: Any, invariant: str) -> None:
    assert invariant in check(rules).broken


def test_engine_that_checks_numbers_needs_no_care_of_the_sender() -> None:
    rules = lease.Rules(pause=True, engine_checks=True, until=4)
    assert "no_reordered_order" not in lease.check(rules).broken
