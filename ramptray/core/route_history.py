"""Which services the routes of callers led to lately."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ramptray.bundle import model
from ramptray.core import stream_origin

RouteKey = tuple[str, str]
"""Host and path prefix of a route."""


class _Use(msgspec.Struct):
    """The services of a route.

    Attributes:
        listed: Those that it leads to now; empty for a route that has gone.
        left_at: When it last led to each of the other ones, in seconds.
    """

    listed: frozenset[str] = frozenset()
    left_at: dict[str, float] = msgspec.field(default_factory=dict)


class RouteHistory:
    """Tracks the services of each route, as far as this VM has seen them.

    A stream that was begun before its route led to another service must not go
    on there.
    """

    def __init__(self) -> None:
        self._uses: dict[RouteKey, _Use] = {}
        # When a route last began or ceased to lead to a service, except for the
        # first service of a route.
        self._moved_at: dict[str, float] = {}

    def observe(self, routes: Iterable[model.Route], now: float) -> bool:
        """Applies the routes of a configuration.

        Args:
            routes: The routes.
            now: The current time, in seconds.

        Returns:
            Whether a route leads to others than before.
        """
        services = {
            (route.host, route.path_prefix): _list_services(route)
            for route in routes
        }
        moved = False
        for key in self._uses.keys() | services.keys():
            moved |= self._update(key, services.get(key, frozenset()), now)
        self._forget_old(now - stream_origin.SPAN_S)
        return moved

    def list_services(
        self, route: model.Route, span_s: float, now: float
    ) -> set[str]:
        """Returns the services that a route has led to for some time.

        Args:
            route: The route as it is now.
            span_s: The time up to now, in seconds.
            now: The current time, in seconds.
        """
        services = set(_list_services(route))
        if use := self._uses.get((route.host, route.path_prefix)):
            services.update(
                service
                for service, left_at in use.left_at.items()
                if left_at > now - span_s
            )
        return services

    def has_moved(self, service: str, span_s: float, now: float) -> bool:
        """Returns whether a route was moved to or from a service lately.

        Args:
            service: The service.
            span_s: The time up to now, in seconds.
            now: The current time, in seconds.
        """
        return self._moved_at.get(service, now - span_s) > now - span_s

    def _update(
        self, key: RouteKey, listed: frozenset[str], now: float
    ) -> bool:
        use = self._uses.setdefault(key, _Use())
        if listed == use.listed:
            return False
        had_services = bool(use.listed or use.left_at)
        use.left_at.update(dict.fromkeys(use.listed - listed, now))
        if had_services:
            changed = use.listed ^ listed
            self._moved_at.update(dict.fromkeys(changed, now))
        use.listed = listed
        return had_services

    def _forget_old(self, oldest: float) -> None:
        """Forgets what no stream that is resumed now can have begun before."""
        for use in self._uses.values():
            use.left_at = _select_newer(use.left_at, oldest)
        self._uses = {
            key: use
            for key, use in self._uses.items()
            if use.listed or use.left_at
        }
        self._moved_at = _select_newer(self._moved_at, oldest)


def _select_newer(times: dict[str, float], oldest: float) -> dict[str, float]:
    return {service: at for service, at in times.items() if at > oldest}


def _list_services(route: model.Route) -> frozenset[str]:
    return frozenset(target.service for target in route.targets)
