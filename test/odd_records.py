"""Records that no program of ours writes, in each topic that a VM reads."""

from __future__ import annotations

import json
import random
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from test import node

BLOCK_TOPIC = "keyed.blocks"
ORIGIN_TOPIC = "keyed.origins"
RELEASE_TOPIC = "keyed.releases"
WRITE_EVERY_S = 0.7
NESTING = 40_000
NESTED = b'{"a":' * NESTING + b"1" + b"}" * NESTING
NESTED_MSGPACK = b"\x91" * NESTING + b"\xc0"
NO_TEXT = b"odd-\xff\xfe"
"""A key that is no Unicode text."""

HUGE = 10**30
"""A number that MessagePack cannot hold."""


class OddRecord(NamedTuple):
    """A record.

    Attributes:
        topic: Its topic.
        key: Its key.
        value: Its value.
    """

    topic: str
    key: bytes
    value: bytes


def make_server(**changes: Any) -> bytes:
    """Returns the record of a server that differs from a sound one."""
    server = {
        "service": node.SERVICE,
        "address": "127.0.0.1:9",
        "zone": "waw-a",
        "version": "v1",
        "slots": node.SLOTS,
        "state": "ready",
    }
    return json.dumps({**server, **changes}).encode()


def make_block(**changes: Any) -> bytes:
    """Returns the record of a block that differs from a sound one."""
    block = {"level": 1, "until_unix_s": 4e9, "crashes": 3, "lifted": False}
    return json.dumps({**block, **changes}).encode()


RECORDS = {
    "server_long_label": OddRecord(
        node.REPLICA_TOPIC, b"odd", make_server(address="a" * 70 + ":80")
    ),
    "server_long_host": OddRecord(
        node.REPLICA_TOPIC, b"odd", make_server(address="ab." * 100 + "c:80")
    ),
    "server_empty_label": OddRecord(
        node.REPLICA_TOPIC, b"odd", make_server(address="a..b:80")
    ),
    "server_in_place": OddRecord(
        node.REPLICA_TOPIC, b"i-0", make_server(address="a" * 70 + ":80")
    ),
    "server_nested": OddRecord(node.REPLICA_TOPIC, b"odd", NESTED),
    "server_no_text": OddRecord(node.REPLICA_TOPIC, NO_TEXT, make_server()),
    "server_name_too_long": OddRecord(
        node.REPLICA_TOPIC, b"o" * 255, make_server()
    ),
    "server_slots": OddRecord(
        node.REPLICA_TOPIC, b"odd", make_server(slots=HUGE)
    ),
    "server_port": OddRecord(
        node.REPLICA_TOPIC, b"odd", make_server(address="127.0.0.1:70000")
    ),
    "order_nested": OddRecord(node.CONFIG_TOPIC, b"rollout/lm", NESTED),
    "order_no_text": OddRecord(node.CONFIG_TOPIC, b"rollout/\xff", b"{}"),
    "evacuation_no_text": OddRecord(
        node.CONFIG_TOPIC, b"evacuate/\xff", NESTED
    ),
    "other_no_text": OddRecord(node.CONFIG_TOPIC, NO_TEXT, b"{}"),
    "block_nested": OddRecord(BLOCK_TOPIC, b"odd", NESTED),
    "block_no_text": OddRecord(BLOCK_TOPIC, NO_TEXT, make_block()),
    "block_huge_level": OddRecord(BLOCK_TOPIC, b"odd", make_block(level=HUGE)),
    "block_huge_crashes": OddRecord(
        BLOCK_TOPIC, b"odd", make_block(crashes=HUGE)
    ),
    "block_huge_time": OddRecord(
        BLOCK_TOPIC, b"odd", make_block(until_unix_s=1e308)
    ),
    "release_nested": OddRecord(RELEASE_TOPIC, b"releases", NESTED),
    "release_no_text": OddRecord(RELEASE_TOPIC, NO_TEXT, b"{}"),
    "release_huge": OddRecord(
        RELEASE_TOPIC,
        b"releases",
        json.dumps({"releases": {}, "position": HUGE}).encode(),
    ),
    "origin_nested": OddRecord(ORIGIN_TOPIC, b"vm-0", NESTED_MSGPACK),
    "origin_no_text": OddRecord(ORIGIN_TOPIC, NO_TEXT, NESTED_MSGPACK),
    "status_nested": OddRecord(node.STATUS_TOPIC, b"rollout/lm", NESTED),
    "status_no_text": OddRecord(node.STATUS_TOPIC, NO_TEXT, NESTED),
}
"""The records by a name of what is odd."""


def make_config(part: str, **changes: Any) -> bytes:
    """Returns a configuration one of whose routes or tenants is odd."""
    config = node.make_config(2)
    config[part][-1].update(changes)
    return json.dumps(config).encode()


CONFIGS = {
    "nested": NESTED,
    "no_json": b"{",
    "no_text": b"\xff",
    "no_object": b"[]",
    "no_version": b"{}",
    "tenant_rate": make_config("tenants", ratePerS=None),
    "tenant_name": make_config("tenants", name=7),
    "route_kind": make_config("routes", kind="odd"),
    "route_timeout": make_config("routes", timeoutMs=HUGE * HUGE),
    "route_priority": make_config("routes", priority=HUGE),
    "service_engine": make_config("services", engine={"slots": HUGE}),
}
"""Configurations by a name of what is odd.

The last route, and the last tenant, are those that the tests do not use.
"""

UNREADABLE = ("nested", "no_json", "no_text", "no_object", "no_version")
"""Those that name no version.  The others would be in force, or their valid
parts, while the configurations of a soak are older."""


def write(started: node.Platform, odd: OddRecord) -> None:
    """Writes a record as another writer does."""
    body = bytes([len(odd.key)]) + odd.key + odd.value
    node.call(started.store, "PUT", f"/raw/{odd.topic}", body)


class OddWriter:
    """Writes odd records during a soak, beside those of the sound writers.

    Args:
        started: The deployment.
        rng: Chooses the records.
    """

    def __init__(self, started: node.Platform, rng: random.Random) -> None:
        self._started = started
        self._rng = rng
        # The replica's own writer would write its record again.
        self._names = sorted(set(RECORDS) - {"server_in_place"})

    def run(self, is_over: Callable[[], bool]) -> None:
        """Writes until the soak is over."""
        while not is_over():
            time.sleep(WRITE_EVERY_S)
            write(self._started, RECORDS[self._rng.choice(self._names)])
            if self._rng.random() < 0.3:
                value = CONFIGS[self._rng.choice(UNREADABLE)]
                odd = OddRecord(node.CONFIG_TOPIC, b"config", value)
                write(self._started, odd)
