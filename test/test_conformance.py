"""ramptray's own objects, driven along the traces of the specifications."""

from __future__ import annotations

import json

from ramptray.bundle import acceptance, model, signature
from ramptray.core import claim, lease, message, request
from spec import bundle as spec_bundle
from spec import claim as spec_claim
from spec import explore
from spec import grant as spec_grant
from spec import lease as spec_lease

INFO = message.RequestInfo(
    "r", message.ShardKey("z", "s"), "c", "t", 1, 1, (), 9.0
)
ENDED = message.Ended("r", 1, 0.0, True)
PHASES = {
    "waiting": request.State.WAITING,
    "granted": request.State.DISPATCHED,
    "sent": request.State.DISPATCHED,
    "ended": request.State.ENDED,
}


def apply_grant_step(
    machine: request.RequestMachine, label: str
) -> list[request.Effect]:
    name, _, argument = label.partition(" ")
    match name:
        case "receive":
            made = message.Grant("r", argument, "b", argument[0])
            return machine.receive_grant(made)
        case "move":
            other = "B" if machine.owner == "A" else "A"
            return machine.assign(other, INFO)
        case "refuse":
            return machine.fail_connect()
        case "give_up":
            return machine.reject(message.Reason.DEADLINE, 1.0)
        case "complete":
            return machine.complete(ENDED)
        case "lose":
            return machine.end_unknown(message.Reason.BACKEND_LOST, ENDED)
    return []


def test_request_machine_follows_every_trace_of_the_specification() -> None:
    rules = spec_grant.Rules()
    traces = explore.iterate_traces(
        spec_grant.State(), lambda s: spec_grant.list_steps(s, rules)
    )
    count = 0
    for trace, state in traces:
        count += 1
        machine = request.RequestMachine(INFO, needs_claim=False)
        machine.assign("A", INFO)
        effects = [
            effect
            for label in trace
            for effect in apply_grant_step(machine, label)
        ]
        ends = [e for e in effects if isinstance(e, request.Finish)]
        assert machine.state is PHASES[state.phase], trace
        assert [e.outcome.value for e in ends] == (
            [state.said] if state.said else []
        ), trace
    assert count > 500


def test_claim_ledger_follows_every_trace_of_the_specification() -> None:
    rules = spec_claim.Rules()
    traces = explore.iterate_traces(
        spec_claim.make_initial(rules),
        lambda s: spec_claim.list_steps(s, rules),
    )
    kinds = {"C": claim.RecordKind.CLAIM, "R": claim.RecordKind.RELEASE}
    logs = {state.log for _, state in traces}
    for log in logs:
        ledger = claim.ClaimLedger()
        for record in log:
            ledger.apply(
                claim.ClaimRecord(kinds[record[0]], "k", record[1], "d")
            )
        holder = spec_claim.find_holder(log, rules)
        held = {
            attempt
            for attempt in ("0", "1")
            if ledger.get_claim_status("k", attempt, "d")
            is claim.ClaimStatus.HELD
        }
        assert held == (set() if holder is None else {str(holder)}), log
    assert len(logs) > 100


PRIVATE = "ed25519:" + "07" * 32
PUBLIC = signature.get_public_key(PRIVATE)
TRUST = model.Operators(keys={"anna": PUBLIC})


def make_envelopes() -> dict[str, signature.Envelope]:
    """Returns the specification's bundles, signed."""
    made: dict[str, signature.Envelope] = {}
    generations = {"a": 1, "b": 2, "c": 2, "d": 3}
    for letter, base in spec_bundle.BASES.items():
        body = {
            "generation": generations[letter],
            "base": made[base].digest if base else None,
            "operators": {"keys": {"anna": PUBLIC}},
            "zones": ["z"],
            "tiers": {letter: {"order": 0, "deadline_s": 1}},
            "customers": {},
            "services": {},
            "engines": {},
            "backend_servers": {},
        }
        envelope = signature.Envelope(json.dumps(body), {})
        made[letter] = signature.sign(envelope, "anna", PRIVATE)
    return made


def drive_reader(
    trace: tuple[str, ...], envelopes: dict[str, signature.Envelope]
) -> acceptance.RolloutLogTracker:
    """Drives a reader along a trace of the specification."""
    reader = acceptance.RolloutLogTracker(TRUST)
    log: list[str] = []
    first = place = 0
    for label in trace:
        name, _, argument = label.partition(" ")
        match name:
            case "publish" | "land":
                log.append(argument)
            case "forget":
                first += 1
            case "start" | "skip":
                place = first
                reader.skip_to(first)
            case "read":
                record = log[place]
                envelope = envelopes[record[0]]
                reader.apply(
                    place,
                    acceptance.Rollout(envelope)
                    if len(record) == 1
                    else acceptance.Checkpoint(envelope, int(record[1:])),
                )
                place += 1
    return reader


def test_acceptance_follows_every_trace_of_the_specification() -> None:
    rules = spec_bundle.Rules(records=3)
    envelopes = make_envelopes()
    digests = {e.digest: letter for letter, e in envelopes.items()}
    traces = explore.iterate_traces(
        spec_bundle.State(), lambda s: spec_bundle.list_steps(s, rules)
    )
    count = 0
    for trace, state in traces:
        if not trace or trace[-1] != "read":
            continue
        count += 1
        reader = drive_reader(trace, envelopes)
        view = reader.log_view
        found = digests[view.envelope.digest] if view else ""
        assert found == (state.reader if state.joined else ""), trace
    assert count > 500


def drive_lease(trace: tuple[str, ...]) -> list[lease.Lease] | None:
    """Drives two contenders along a trace.

    Returns:
        None where a contender does not send though the specification allows
        it to.
    """
    times = lease.LeaseTimes(spec_lease.TERM, spec_lease.FLIGHT, drift=0.0)
    ones = [lease.Lease(str(n), times, 0.0) for n in range(2)]
    now = 0.0
    flying: list[lease.LeaseRecord] = []
    log: list[lease.LeaseRecord] = []
    read = [0, 0]
    for label in trace:
        words = label.split()
        if label == "tick":
            now += 1.0
        elif words[0] == "land":
            landed = next(r for r in flying if r.holder == words[1])
            flying.remove(landed)
            log.append(landed)
        elif words[1] == "reads":
            who = int(words[0])
            ones[who].apply_record(read[who], log[read[who]], now)
            read[who] += 1
        elif words[1] == "sends":
            sent = ones[int(words[0])].make_record(now)
            if sent is None:
                return None
            flying.append(sent)
    return ones


def test_lease_follows_the_traces_of_the_specification() -> None:
    rules = spec_lease.Rules(until=4)
    traces = explore.iterate_traces(
        spec_lease.State(), lambda s: spec_lease.list_steps(s, rules)
    )
    followed = orderers = 0
    for trace, state in traces:
        if any("order" in label for label in trace):
            continue  # Orders do not change the lease.
        ones = drive_lease(trace)
        if ones is None:
            continue
        followed += 1
        able = [one.may_send_order(float(state.now)) for one in ones]
        allowed = [
            spec_lease.may_order(state, one, rules) for one in state.ones
        ]
        assert able == allowed, trace
        assert sum(able) <= 1, trace
        orderers += sum(able)
    assert followed > 500
    assert orderers > 20
