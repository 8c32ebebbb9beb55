"""Tells the balancer whether this VM takes callers, and serves the metrics."""

from __future__ import annotations

from collections.abc import Callable

from starlette import applications, requests, responses, routing

READY_PATH = "/v1/ready"
METRICS_PATH = "/metrics"


def make_app(
    is_ready: Callable[[], bool], format_metrics: Callable[[], str]
) -> applications.Starlette:
    """Returns the application for probes and metrics."""

    async def show_ready(_: requests.Request) -> responses.Response:
        ready = is_ready()
        return responses.JSONResponse(
            {"ready": ready}, status_code=200 if ready else 503
        )

    async def show_metrics(_: requests.Request) -> responses.Response:
        return responses.PlainTextResponse(format_metrics())

    return applications.Starlette(
        routes=[
            routing.Route(READY_PATH, show_ready),
            routing.Route(METRICS_PATH, show_metrics),
        ]
    )
