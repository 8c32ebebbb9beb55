"""Replays the traces of the specifications on ramptray's own state machines."""

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
            grant = message.Grant("r", argument, "b", argument[0])
            return machine.receive_grant(grant)
        case "move":
            new_owner = "B" if machine.owner == "A" else "A"
            return machine.assign(new_owner, INFO)
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
        finishes = [e for e in effects if isinstance(e, request.Finish)]
        assert machine.state is PHASES[state.phase], trace
        assert [e.outcome.value for e in finishes] == (
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
    """Returns the signed bundles that the specification names by letter."""
    envelopes: dict[str, signature.Envelope] = {}
    generations = {"a": 1, "b": 2, "c": 2, "d": 3}
    for letter, base in spec_bundle.BASES.items():
        body = {
            "generation": generations[letter],
            "base": envelopes[base].digest if base else None,
            "operators": {"keys": {"anna": PUBLIC}},
            "zones": ["z"],
            "tiers": {letter: {"order": 0, "deadline_s": 1}},
            "customers": {},
            "services": {},
            "engines": {},
            "backend_servers": {},
        }
        envelope = signature.Envelope(json.dumps(body), {})
        envelopes[letter] = signature.sign(envelope, "anna", PRIVATE)
    return envelopes


def replay_bundle_trace(
    trace: tuple[str, ...], envelopes: dict[str, signature.Envelope]
) -> acceptance.RolloutLogTracker:
    """Replays a trace of the specification on a new log tracker."""
    tracker = acceptance.RolloutLogTracker(TRUST)
    log: list[str] = []
    first_retained = next_offset = 0
    for label in trace:
        name, _, argument = label.partition(" ")
        match name:
            case "publish" | "land":
                log.append(argument)
            case "forget":
                first_retained += 1
            case "start" | "skip":
                next_offset = first_retained
                tracker.skip_to(first_retained)
            case "read":
                record = log[next_offset]
                envelope = envelopes[record[0]]
                tracker.apply(
                    next_offset,
                    acceptance.Rollout(envelope)
                    if len(record) == 1
                    else acceptance.Checkpoint(envelope, int(record[1:])),
                )
                next_offset += 1
    return tracker


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
        tracker = replay_bundle_trace(trace, envelopes)
        view = tracker.log_in_force
        found = digests[view.envelope.digest] if view else ""
        assert found == (state.reader if state.joined else ""), trace
    assert count > 500


def replay_lease_trace(trace: tuple[str, ...]) -> list[lease.Lease] | None:
    """Replays a trace on the leases of two contenders.

    Returns:
        The leases, or None if a contender does not send although the
        specification allows it.
    """
    times = lease.LeaseTimes(spec_lease.TERM, spec_lease.FLIGHT, drift=0.0)
    leases = [lease.Lease(str(n), times, 0.0) for n in range(2)]
    now = 0.0
    in_flight: list[lease.LeaseRecord] = []
    log: list[lease.LeaseRecord] = []
    offsets = [0, 0]
    for label in trace:
        words = label.split()
        if label == "tick":
            now += 1.0
        elif words[0] == "land":
            record = next(r for r in in_flight if r.holder == words[1])
            in_flight.remove(record)
            log.append(record)
        elif words[1] == "reads":
            index = int(words[0])
            leases[index].apply_record(offsets[index], log[offsets[index]], now)
            offsets[index] += 1
        elif words[1] == "sends":
            record_to_send = leases[int(words[0])].make_record(now)
            if record_to_send is None:
                return None
            in_flight.append(record_to_send)
    return leases


def test_lease_follows_the_traces_of_the_specification() -> None:
    rules = spec_lease.Rules(until=4)
    traces = explore.iterate_traces(
        spec_lease.State(), lambda s: spec_lease.list_steps(s, rules)
    )
    replayed = allowed_orders = 0
    for trace, state in traces:
        if any("order" in label for label in trace):
            continue  # Orders do not change the lease.
        leases = replay_lease_trace(trace)
        if leases is None:
            continue
        replayed += 1
        may_send = [
            candidate.may_send_order(float(state.now)) for candidate in leases
        ]
        allowed = [
            spec_lease.may_order(state, one, rules) for one in state.ones
        ]
        assert may_send == allowed, trace
        assert sum(may_send) <= 1, trace
        allowed_orders += sum(may_send)
    assert replayed > 500
    assert allowed_orders > 20
