"""Keeps a further attempt away from servers that fail like the last one."""

from __future__ import annotations

from ramptray.core import backend as backends
from ramptray.core import fleet, queue


def exclude_symptom(
    candidates: list[backends.Backend],
    waiting: queue.QueuedRequest,
    servers: fleet.Fleet,
    now: float,
) -> list[backends.Backend]:
    """Returns the candidates that do not fail like the request's last server.

    Load pattern: some servers fail often, for example those of one zone.  They
    have free slots, as failed requests end early, so a request that failed on
    one of them would next be sent to another one.

    A request that is late may go to any server.  So may all requests if most
    servers fail in the same way, as waiting for the others would overload them.

    Args:
        candidates: The backend servers that the request may be sent to.
        waiting: The request.
        servers: The shard's backend servers.
        now: The owner's clock in seconds.
    """
    tried = waiting.request.avoid
    if not tried or waiting.is_late:
        return candidates
    last = servers.backends.get(tried[-1])
    symptom = last.availability.get_symptom(now) if last else None
    if symptom is None or symptom in servers.common_symptoms:
        return candidates
    return [c for c in candidates if not c.availability.shows(symptom, now)]
