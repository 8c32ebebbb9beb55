"""The services that routes led to, for streams that are resumed."""

from __future__ import annotations

import json

from ramptray.bundle import model
from ramptray.core import route_history, stream_origin
from ramptray.platform import config
from test import node

SPAN_S = stream_origin.SPAN_S


def make_route(service: str, prefix: str = "/stream/") -> model.Route:
    """Returns a route that leads to a service."""
    raw = node.make_config(1, services=[{"name": service}])
    raw["routes"] = [
        {**raw["routes"][2], "service": service, "pathPrefix": prefix}
    ]
    (route,) = config.parse_config(json.dumps(raw)).routes.values()
    return route


def test_former_services_of_a_route_count_for_the_span() -> None:
    history = route_history.RouteHistory()
    former, now = make_route("a"), make_route("b")
    assert not history.observe([former], 0.0)
    assert history.observe([now], 10.0)
    assert history.list_services(now, SPAN_S, 11.0) == {"a", "b"}
    assert history.has_moved("a", SPAN_S, 11.0)
    assert history.has_moved("b", SPAN_S, 11.0)
    assert history.list_services(now, SPAN_S, 11.0 + SPAN_S) == {"b"}
    assert not history.has_moved("a", SPAN_S, 11.0 + SPAN_S)


def test_a_route_that_returns_with_another_service_has_moved() -> None:
    history = route_history.RouteHistory()
    history.observe([make_route("a")], 0.0)
    history.observe([], 1.0)
    returned = make_route("b")
    assert history.observe([returned], 2.0)
    assert history.list_services(returned, SPAN_S, 3.0) == {"a", "b"}


def test_routes_that_came_and_went_are_forgotten() -> None:
    # Configurations may add and remove routes for as long as a VM runs.
    history = route_history.RouteHistory()
    for number in range(100):
        routes = [make_route("a", f"/{number}/")]
        history.observe(routes, number * SPAN_S / 10)
    assert len(history._uses) <= 12
