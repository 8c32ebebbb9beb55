"""A deployment of real processes that the slower tests share."""

from __future__ import annotations

import gc
import os
import pathlib
import threading
from collections.abc import Iterator

import pytest

from bench import deployment

PLAN = deployment.Plan(
    zones={"waw-a": 2, "waw-b": 1},
    engines=[
        deployment.EngineSpec("fast-1", "waw-a", "assistant", "fast"),
        deployment.EngineSpec(
            "slow-1", "waw-b", "assistant", "slow", 1000.0, 0.04
        ),
    ],
    plain=[("portal-1", "waw-a", "portal")],
    tiers=[("urgent", 10.0), ("batch", 60.0)],
    customers={"salon-ola": ["urgent", "batch"], "hydraulik": ["batch"]},
    common={"log_events": True},
)


@pytest.fixture(scope="session")
def running() -> Iterator[deployment.Deployment]:
    """A running deployment; tests leave it as they found it."""
    with deployment.run_deployment(PLAN) as started:
        yield started


@pytest.fixture(scope="session", autouse=True)
def _no_proxy() -> None:
    """Keeps requests to loopback away from any proxy of the machine."""
    os.environ["NO_PROXY"] = "*"


@pytest.fixture
def grpc_queue_closed() -> Iterator[None]:
    """Closes grpc's completion queue after a test.

    The queue serves all event loops of the process until the last channel and
    server are collected.  Those in reference cycles outlive their test, and the
    next test's loop then passes late events on to a closed loop, which fails
    that test with "Event loop is closed".
    """
    yield
    gc.collect()
    for thread in threading.enumerate():
        # The thread of the queue, which ends with it.
        if "_poll_wrapper" in thread.name:
            thread.join(5.0)
            assert not thread.is_alive()


KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_red() -> dict[str, str]:
    """Returns test id and cause of each test that is known to fail."""
    lines = [
        line.partition("|")
        for line in KNOWN_RED.read_text().splitlines()
        if line.strip() and not line.startswith("#")
    ]
    return {test.strip(): cause.strip() for test, _, cause in lines}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expects the listed tests to fail; one that passes must leave the list.

    One whose cause begins with "sometimes" may pass.
    """
    known = read_known_red()
    for item in items:
        if item.nodeid in known:
            reason = known[item.nodeid]
            strict = not reason.startswith("sometimes")
            item.add_marker(pytest.mark.xfail(reason=reason, strict=strict))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the tests that are passed over."""
    for test, cause in read_known_red().items():
        terminalreporter.write_line(f"KNOWN RED: {test}: {cause}")
