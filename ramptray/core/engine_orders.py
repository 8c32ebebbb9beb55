"""Which orders bring engines to what the bundle declares.

Level-triggered: the bundle's wish is compared with what each engine says, and
only the difference is ordered, so repeated or lost orders do no harm.
"""

from __future__ import annotations

import enum

import msgspec


class OrderKind(enum.Enum):
    """What an engine can be told to do."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


class Order(msgspec.Struct, frozen=True):
    """An order to one engine.

    Attributes:
        kind: What to do.
        backend: The engine's backend server.
        argument: The model version, or the role.
    """

    kind: OrderKind
    backend: str
    argument: str


class DesiredState(msgspec.Struct, frozen=True):
    """What the bundle declares for an engine.

    Attributes:
        version: The model version to have loaded, as ``service@version``.
        role: The role to have.
    """

    version: str
    role: str


class EngineState(msgspec.Struct, frozen=True):
    """What an engine says of itself.

    Attributes:
        versions: Model versions loaded.
        loading: Model versions being loaded.
        role: Its role.
        running: Requests running on each version.
    """

    versions: frozenset[str]
    loading: frozenset[str]
    role: str
    running: dict[str, int]


def plan_orders(
    desired: dict[str, DesiredState],
    states: dict[str, EngineState],
    loads_at_once: int,
    unreported_loads: int,
    may_unload: bool,
) -> list[Order]:
    """Returns the orders to give now.

    A version is unloaded only where the wished one is loaded, nothing runs on
    the old one, and nobody could still route to it.

    Args:
        desired: What the bundle declares, by backend server.
        states: What the engines say; one that says nothing gets no order.
        loads_at_once: Loads that the weight store's budget allows.
        unreported_loads: Loads that may be running on engines without a
            report.
        may_unload: Whether every node works by the bundle in force.
    """
    known = {name: states[name] for name in desired if name in states}
    loading = sum(len(state.loading) for state in known.values())
    free = max(0, loads_at_once - loading - unreported_loads)
    missing = [
        Order(OrderKind.LOAD, name, desired[name].version)
        for name, state in known.items()
        if desired[name].version not in state.versions | state.loading
    ]
    roles = [
        Order(OrderKind.ROLE, name, desired[name].role)
        for name, state in known.items()
        if state.role != desired[name].role
    ]
    surplus = [
        Order(OrderKind.UNLOAD, name, version)
        for name, state in known.items()
        if may_unload and desired[name].version in state.versions
        for version in sorted(state.versions - {desired[name].version})
        if not state.running.get(version)
    ]
    return [*roles, *missing[:free], *surplus]
