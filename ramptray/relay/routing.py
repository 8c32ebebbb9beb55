"""Selects the route and the service of a request."""

from __future__ import annotations

from collections.abc import Mapping

import xxhash

from ramptray.bundle import model

SPLIT_STEPS = 1_000_000
"""Resolution of a traffic split: a request id is hashed to one of so many steps
of the total weight."""


class RouteTable:
    """The routes of a bundle, by host."""

    def __init__(self, routes: Mapping[str, model.Route]) -> None:
        self._by_host: dict[str, list[model.Route]] = {}
        longest_first = sorted(
            routes.values(), key=lambda route: -len(route.path_prefix)
        )
        for route in longest_first:
            self._by_host.setdefault(route.host.lower(), []).append(route)

    def find(self, host: str, target: bytes) -> model.Route | None:
        """Returns the route with the longest matching path prefix."""
        path = target.partition(b"?")[0].decode("latin-1")
        return next(
            (
                route
                for route in self._by_host.get(host.lower(), [])
                if path.startswith(route.path_prefix)
            ),
            None,
        )


def pick_service(route: model.Route, request_id: str) -> str:
    """Returns the service of a request, chosen by the targets' weights.

    Requests with the same id get the same service.
    """
    total = sum(target.weight for target in route.targets)
    if len(route.targets) == 1 or total <= 0:
        return route.targets[0].service
    digest = xxhash.xxh3_64_intdigest(request_id.encode())
    point = digest % SPLIT_STEPS / SPLIT_STEPS * total
    for target in route.targets:
        point -= target.weight
        if point < 0:
            return target.service
    return route.targets[-1].service
