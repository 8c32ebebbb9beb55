"""Token counts of requests against their customer's limit."""

from __future__ import annotations

from test import node
from test.test_node import ask, wait_until

SIZE = 900


def test_requests_without_sizes_count_as_configured() -> None:
    # They counted as 200 tokens each, regardless of the customer's setting.
    with node.run_platform() as started:
        wait_until(lambda: ask(started, "/safe/").status == 200)
        tenants = node.make_config(1)["tenants"]
        tenants[1]["uncachedTokens"] = SIZE
        started.set_config(node.make_config(2, tenants=tenants))
        started.wait_for_config("vm-0", 2)
        key = f"Bearer {node.LIMITED_KEY}"
        statuses = [
            ask(started, "/safe/", headers={"Authorization": key}).status
            for _ in range(3)
        ]
    # The second request may overdraw the burst of 1,000 tokens.
    assert statuses == [200, 200, 429]
