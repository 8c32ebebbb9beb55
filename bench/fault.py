"""The faults that ``bin/bench faults`` brings about."""

from __future__ import annotations

import abc
import dataclasses
import random
import signal
import threading
import time
from collections.abc import Iterator

from bench import deployment
from ramptray.bundle import signature


@dataclasses.dataclass
class Note:
    """A fault that was brought about.

    Attributes:
        name: What was done, and to what.
        process: The process it was done to; empty for none.
        began: Monotonic time of its beginning.
        ended: Monotonic time of its end.
        abrupt: Whether callers of that process may lose their connection.
    """

    name: str
    process: str
    began: float
    ended: float = 0.0
    abrupt: bool = False


class Fault(abc.ABC):
    """A fault with a beginning and an end.

    Attributes:
        seconds: How long it lasts.
    """

    seconds = 2.0

    def __init__(self, target: deployment.Deployment, name: str) -> None:
        self.target = target
        self.name = name

    @property
    def note(self) -> Note:
        """A fresh note of this fault."""
        label = f"{type(self).__name__} {self.name}".strip()
        return Note(label, self.name, time.monotonic())

    @abc.abstractmethod
    def begin(self) -> None:
        """Brings the fault about."""

    @abc.abstractmethod
    def end(self) -> None:
        """Ends the fault."""


class Kill(Fault):
    """A process dies without warning and is replaced later."""

    @property
    def note(self) -> Note:
        """See the base class."""
        return dataclasses.replace(super().note, abrupt=True)

    def begin(self) -> None:
        """See the base class."""
        self.target.kill(self.name)

    def end(self) -> None:
        """See the base class."""
        self.target.start(self.name, wait=False)


class Pause(Fault):
    """A process stands still for a while."""

    seconds = 2.5

    def begin(self) -> None:
        """See the base class."""
        self.target.send_signal(self.name, signal.SIGSTOP)

    def end(self) -> None:
        """See the base class."""
        self.target.send_signal(self.name, signal.SIGCONT)


class PlannedStop(Fault):
    """A process is asked to stop, and is replaced when it has ended."""

    seconds = 1.0

    def begin(self) -> None:
        """See the base class."""
        self.target.send_signal(self.name, signal.SIGTERM)

    def end(self) -> None:
        """See the base class."""
        threading.Thread(target=self._replace, daemon=True).start()

    def _replace(self) -> None:
        self.target.wait_ended(self.name, 60.0)
        self.target.start(self.name, wait=False)


class EngineFault(Fault):
    """An engine stand-in misbehaves."""

    options: dict[str, object] = {}

    def begin(self) -> None:
        """See the base class."""
        self.target.put(self.name, "/faults", self.options)

    def end(self) -> None:
        """See the base class."""
        self.target.put(self.name, "/faults", {})


class EngineCrash(EngineFault):
    """An engine loses everything and is gone for two seconds."""

    seconds = 4.0
    options = {"crash_s": 2.0}


class EngineSlow(EngineFault):
    """An engine runs at a fifth of its speed."""

    seconds = 4.0
    options = {"slowdown": 5.0}


class StreamsBreak(EngineFault):
    """All connections to an engine break once."""

    seconds = 0.2
    options = {"break_streams": True}


class EngineLeaves(EngineFault):
    """An engine says that it is leaving."""

    seconds = 6.0
    options = {"leaving": True}


class PlatformFault(Fault):
    """The platform's log misbehaves."""

    options: dict[str, object] = {}

    def begin(self) -> None:
        """See the base class."""
        self.target.put("platform", "/faults", self.options)

    def end(self) -> None:
        """See the base class."""
        self.target.put("platform", "/faults", {})


class LogDown(PlatformFault):
    """The log answers nothing."""

    seconds = 5.0
    options = {"log_down": True}


class LogLies(PlatformFault):
    """Appends work though their answers are lost, or land late."""

    seconds = 5.0
    options = {"lose_answer": 0.3, "late_append": 0.3, "late_s": 2.0}


class ZoneCut(Fault):
    """A zone is cut off from the others and from the platform."""

    seconds = 4.0

    def begin(self) -> None:
        """See the base class."""
        self.target.cut_zone(self.name)

    def end(self) -> None:
        """See the base class."""
        self.target.join_zones()


class RolloutRace(Fault):
    """Two operators roll out different bundles at the same moment.

    Attributes:
        published: Digests and generations of all that were published.
    """

    seconds = 2.0

    def __init__(self, target: deployment.Deployment, name: str) -> None:
        super().__init__(target, name)
        self.in_force = signature.Envelope("", {})
        self.generation = 1

    def begin(self) -> None:
        """See the base class."""
        self.generation += 1
        rivals = [
            self.target.make_bundle(
                self.generation,
                self.in_force.digest,
                services=self._make_services(number),
            )
            for number in (1, 2)
        ]
        envelopes: list[signature.Envelope] = []
        threads = [
            threading.Thread(
                target=lambda b=rival: envelopes.append(self.target.publish(b))
            )
            for rival in rivals
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def end(self) -> None:
        """See the base class; the race is over by then."""

    def _make_services(self, number: int) -> dict[str, object]:
        """Returns services whose model version the rivals disagree on."""
        services = dict(self.target.make_bundle()["services"])
        version = f"{self.generation}.{number}"
        services["assistant"] = {**services["assistant"], "version": version}
        return services

    def find_first(self) -> signature.Envelope:
        """Returns the very first bundle of the log."""
        records = self.target.get("platform", "/log/bundles?from=0")
        body = records["records"][0]["body"]
        return signature.Envelope(body["text"], body["signatures"])

    def find_winner(self) -> signature.Envelope:
        """Returns the bundle that the log put in force."""
        records = self.target.get("platform", "/log/bundles?from=0")
        found = self.in_force
        for record in records["records"]:
            body = record["body"]
            if f'"base": "{found.digest}"' in body["text"]:
                found = signature.Envelope(body["text"], body["signatures"])
        return found


def iterate_faults(
    target: deployment.Deployment, rng: random.Random, race: RolloutRace
) -> Iterator[Fault]:
    """Yields faults for ever, each kind in its turn, targets by chance."""
    vms = [vm for vm, _ in target.vms]
    engines = [f"engine/{spec.name}" for spec in target.plan.engines]
    zones = list(target.plan.zones)
    while True:
        kinds: list[Fault] = [
            Kill(target, f"scheduler/{rng.choice(vms)}"),
            Kill(target, f"entry/{rng.choice(vms)}"),
            Kill(target, f"controller/{rng.choice(vms)}"),
            Pause(target, f"scheduler/{rng.choice(vms)}"),
            Pause(target, f"entry/{rng.choice(vms)}"),
            Pause(target, f"controller/{rng.choice(vms)}"),
            PlannedStop(target, f"scheduler/{rng.choice(vms)}"),
            PlannedStop(target, f"entry/{rng.choice(vms)}"),
            EngineCrash(target, rng.choice(engines)),
            EngineSlow(target, rng.choice(engines)),
            StreamsBreak(target, rng.choice(engines)),
            EngineLeaves(target, rng.choice(engines)),
            LogDown(target, ""),
            LogLies(target, ""),
            ZoneCut(target, rng.choice(zones)),
        ]
        rng.shuffle(kinds)
        yield from kinds[:5]
        yield race
        yield from kinds[5:10]
        yield race
        yield from kinds[10:]
