"""Orders that bring engines to the state declared in the bundle.

Reconciliation is level-triggered: the desired state is compared with the
reported one, and orders cover only the difference.  Lost or repeated orders are
therefore harmless.
"""

from __future__ import annotations

import enum

import msgspec


class OrderKind(enum.Enum):
    """Kinds of orders."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


class Order(msgspec.Struct, frozen=True):
    """An order to one engine.

    Attributes:
        kind: Kind of the order.
        backend: Backend server of the engine.
        argument: Model version or role.
    """

    kind: OrderKind
    backend: str
    argument: str


class DesiredState(msgspec.Struct, frozen=True):
    """Desired state of an engine, as declared in the bundle.

    Attributes:
        version: Model version to load, as ``service@version``.
        role: Role of the engine.
    """

    version: str
    role: str


class EngineState(msgspec.Struct, frozen=True):
    """State reported by an engine.

    Attributes:
        versions: Loaded model versions.
        loading: Model versions being loaded.
        role: Role of the engine.
        running: Running requests by version.
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
    """Returns the orders to send now.

    A version is unloaded only if the desired one is loaded, no request runs on
    the old one, and no node can still route requests to it.

    Args:
        desired: Desired states by backend server.
        states: Reported states; an engine without one gets no orders.
        loads_at_once: Concurrent loads that the weight store's budget allows.
        unreported_loads: Loads that may be running on engines without a
            report.
        may_unload: Whether every node uses the bundle in force.
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
