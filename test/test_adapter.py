"""Tests decoding of the platform's configuration, records and headers."""

from __future__ import annotations

import json
import pathlib
from collections.abc import Callable
from typing import Any

import anyio
import pytest
from result import Err, Ok

from ramptray.bundle import model
from ramptray.core import message as core_message
from ramptray.core import propagation
from ramptray.platform import (
    config,
    header,
    record,
    replicas,
    settings,
    store,
    topic,
)
from ramptray.relay import content, message
from ramptray.scheduler import rules
from test import node


def test_configuration_is_decoded_into_bundle() -> None:
    bundle = config.parse_config(json.dumps(node.make_config(12)))
    assert bundle.generation == 12
    assert bundle.get_customer_by_key(node.KEY) == "ola"
    stream = bundle.routes["stream"]
    assert stream.kind is model.RouteKind.STREAM
    assert stream.timeout_s == 4.0
    assert stream.patience_s == 2.0
    assert bundle.customers["small"].limits.tokens_per_s == 100
    assert bundle.relay.idle_s == 4.0


def test_customer_rank_takes_precedence_over_route_rank() -> None:
    raw = node.make_config(1)
    raw["routes"][0]["priority"] = 2
    raw["tenants"][0]["priority"] = 1
    bundle = config.parse_config(json.dumps(raw))
    tier = bundle.customers["ola"].route_tiers[bundle.routes["safe"].tier]
    ranks = bundle.get_tier_ranks()
    high = bundle.customers["ola"].route_tiers[bundle.routes["once"].tier]
    other = bundle.customers["small"].route_tiers[bundle.routes["safe"].tier]
    assert ranks[other] < ranks[high] < ranks[tier]


def test_customer_without_keys_keeps_its_limits_and_has_no_access() -> None:
    # An owner may still place requests that another VM admitted before the
    # keys were removed; without the customer they would have no limit.
    raw = node.make_config(1)
    before = config.parse_config(json.dumps(raw))
    for tenant in raw["tenants"]:
        tenant["apiKeys"] = []
    bundle = config.parse_config(json.dumps(raw))
    key = core_message.ShardKey("all", node.SERVICE)
    assert rules.make_rules(bundle, key) == rules.make_rules(before, key)
    assert rules.make_rules(bundle, key).limits["small"].tokens_per_s == 100
    assert not any(
        bundle.get_customer_by_key(held)
        for held in (node.KEY, node.LIMITED_KEY, "")
    )


def test_routes_are_decoded_again_once_customers_are_declared() -> None:
    # A route of the configuration without customers must not stay public.
    parser = config.ConfigParser()
    raw = node.make_config(1)
    tenants = raw.pop("tenants")
    assert parser.parse(json.dumps(raw)).routes["safe"].public
    raw = {**raw, "version": 2, "tenants": tenants}
    assert not parser.parse(json.dumps(raw)).routes["safe"].public


def test_configuration_error_names_field() -> None:
    raw = node.make_config(1)
    del raw["routes"][1]["timeoutMs"]
    with pytest.raises(config.ConfigError, match=r"routes\.1\.timeoutMs"):
        config.parse_config(json.dumps(raw))
    with pytest.raises(config.ConfigError, match="JSON"):
        config.parse_config("{")


def test_error_in_customer_keys_does_not_reveal_key() -> None:
    raw = node.make_config(1)
    raw["tenants"][0]["apiKeys"] = "secret-key"
    with pytest.raises(
        config.ConfigError, match=r"tenants\.0\.apiKeys"
    ) as caught:
        config.parse_config(json.dumps(raw))
    assert "secret" not in str(caught.value)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("kind", "awaiting_reply of"),
        ("timeoutMs", 0),
        ("maxAttempts", 0),
        ("pathPrefix", 7),
        ("name", ""),
    ],
)
def test_error_in_route_names_field(field: str, value: object) -> None:
    raw = node.make_config(1)
    raw["routes"][2][field] = value
    with pytest.raises(config.ConfigError, match=rf"routes\.2\.{field}"):
        config.parse_config(json.dumps(raw))


def test_route_without_service_is_rejected() -> None:
    raw = node.make_config(1)
    del raw["routes"][2]["service"]
    with pytest.raises(config.ConfigError, match="stream leads to no service"):
        config.parse_config(json.dumps(raw))


def test_unchanged_routes_are_reused() -> None:
    parser = config.ConfigParser()
    raw = node.make_config(1)
    before = parser.parse(json.dumps(raw))
    raw = node.make_config(2)
    raw["routes"][1]["pathPrefix"] = "/other/"
    after = parser.parse(json.dumps(raw))
    assert after == config.parse_config(json.dumps(raw))
    assert after.routes["safe"] is before.routes["safe"]
    assert after.routes["once"].path_prefix == "/other/"
    del raw["routes"][0]["kind"]
    with pytest.raises(config.ConfigError, match=r"routes\.0\.kind"):
        parser.parse(json.dumps(raw))
    raw["routes"] = 7
    with pytest.raises(config.ConfigError, match="routes"):
        parser.parse(json.dumps(raw))
    assert parser.parse(json.dumps(node.make_config(3))).generation == 3


def test_settings_error_names_file_and_field(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "node.toml"
    path.write_text('node = "a"\nip = "127.0.0.1"\nzone = "z"\n')
    with pytest.raises(settings.SettingsError, match=r"node\.toml: listen"):
        settings.read_settings(path)
    path.write_text("node = [")
    with pytest.raises(settings.SettingsError, match="node.toml"):
        settings.read_settings(path)


def parse_request(
    *headers: tuple[str, str],
) -> message.CallerRequest | message.InvalidRequest:
    """Returns the parsed request with these headers, or the error."""
    head = message.RequestHead(
        b"POST", b"/a/", [(n.encode(), v.encode()) for n, v in headers]
    )
    match header.PlatformDialect().parse_request(head):
        case Ok(request):
            return request
        case Err(error):
            return error


def test_request_headers_are_decoded() -> None:
    request = parse_request(
        ("Host", "LM.example:80"),
        ("X-Request-Id", "r1"),
        ("X-Token-Count", "1460,80"),
        ("X-Length-Hint", "33"),
        ("X-Deadline-Ms", "1500"),
        ("Authorization", "Bearer k"),
        ("X-Tenant", "forged"),
        ("Last-Event-Id", "4"),
        ("Resumes", "r0"),
        ("Connection", "close, x-mine, x-token-count"),
        ("X-Mine", "1"),
    )
    assert isinstance(request, message.CallerRequest)
    assert (request.host, request.key, request.deadline_s) == (
        "lm.example",
        "k",
        1.5,
    )
    assert (request.prompt_tokens, request.output_tokens) == (1460, 80)
    assert request.likely_tokens == 33
    assert (request.last_event, request.resumes) == ("4", "r0")
    names = [name.lower() for name, _ in request.headers]
    assert names == [
        b"host",
        b"x-request-id",
        b"x-token-count",
        b"x-length-hint",
        b"resumes",
    ]


def list_part_digests(*values: str, service: str = "lm") -> tuple[str, ...]:
    """Returns the part digests of a request with these prefix headers."""
    headers = [("X-Prompt-Prefix", value) for value in values]
    request = parse_request(("X-Request-Id", "r"), *headers)
    assert isinstance(request, message.CallerRequest)
    return content.make_part_digests(request, service, b"key")


def test_a_part_of_a_prompt_has_one_digest_wherever_it_stands() -> None:
    first, second = list_part_digests("a1:10,B2:20,ff:1")
    assert list_part_digests("b2:7, a1:10,ee:1") == (second, first)
    assert list_part_digests("b2:20", "dd:3") == (second,)
    assert list_part_digests("b2:20,b2:20,cc:3") == (second,)
    assert list_part_digests("b2:20,cc:3", service="other") != (second,)


def test_the_last_part_of_a_prompt_has_no_digest() -> None:
    assert list_part_digests("a1:10") == ()
    assert list_part_digests() == ()


def test_parts_behind_the_limit_of_the_cache_index_have_digests() -> None:
    parts = ",".join(f"{number:x}:1" for number in range(100))
    assert len(list_part_digests(parts)) == 99


@pytest.mark.parametrize(
    "headers",
    [
        [("Host", "a")],
        [("X-Request-Id", "1"), ("X-Request-Id", "2")],
        [("X-Request-Id", "1"), ("Resumes", "a"), ("Resumes", "b")],
        [("X-Request-Id", "1"), ("Resumes", "a" * 257)],
        [
            ("X-Request-Id", "1"),
            ("Content-Length", "1"),
            ("Transfer-Encoding", "chunked"),
        ],
    ],
)
def test_ambiguous_requests_are_rejected(
    headers: list[tuple[str, str]],
) -> None:
    error = parse_request(*headers)
    assert isinstance(error, message.InvalidRequest)
    assert error.status == 400


@pytest.mark.parametrize(
    ("status", "headers", "not_run"),
    [
        (503, [(b"X-Not-Executed", b"1")], True),
        (421, [], True),
        (503, [], False),
        (500, [], False),
    ],
)
def test_not_run_requires_explicit_response(
    status: int, headers: message.Headers, not_run: bool
) -> None:
    response = header.PlatformDialect().parse_response_head(status, headers)
    assert response.not_run is not_run


def parse_limit(*values: bytes) -> float | None:
    headers = [(b"Server-Limit", value) for value in values]
    return (
        header.PlatformDialect().parse_response_head(200, headers).limit_per_s
    )


@pytest.mark.parametrize("value", [b"2", b"1.1", b"0.25", b" 12.5 ", b"0"])
def test_server_limit_is_decoded(value: bytes) -> None:
    assert parse_limit(value) == float(value)


@pytest.mark.parametrize(
    "values",
    [
        (b"",),
        (b"-1",),
        (b"1e3",),
        (b"inf",),
        (b"nan",),
        (b"2 a second",),
        (b"9" * 400,),
        (b"2", b"2"),
        (b"2, 3",),
    ],
)
def test_invalid_server_limit_is_counted_and_ignored(
    values: tuple[bytes, ...], caplog: pytest.LogCaptureFixture
) -> None:
    headers = [(b"server-limit", value) for value in values]
    dialect = header.PlatformDialect()
    for _ in range(100):
        response = dialect.parse_response_head(200, headers)
        assert response.limit_per_s is None
        assert response.headers == headers
    assert dialect.invalid == {"server-limit": 100}
    assert 0 < len(caplog.records) <= 8


def parse_response_head(
    status: int, *headers: tuple[bytes, bytes]
) -> message.ResponseHead:
    return header.PlatformDialect().parse_response_head(status, list(headers))


def test_server_leaving_is_decoded() -> None:
    for status in (200, 421, 500, 503):
        assert parse_response_head(status, (b"Server-Leaving", b"1")).is_leaving
    assert not parse_response_head(200).is_leaving


@pytest.mark.parametrize("value", [b"3", b"0.25", b"0", b" 12.5 "])
def test_retry_after_is_decoded(value: bytes) -> None:
    assert parse_response_head(503, (b"Retry-After", value)).pause_s == float(
        value
    )


def test_retry_after_is_ignored_unless_status_is_503() -> None:
    for status in (200, 421, 429, 500):
        assert (
            parse_response_head(status, (b"Retry-After", b"3")).pause_s is None
        )


@pytest.mark.parametrize(
    ("name", "values"),
    [
        ("retry-after", (b"",)),
        ("retry-after", (b"-1",)),
        ("retry-after", (b"1e3",)),
        ("retry-after", (b"inf",)),
        ("retry-after", (b"Wed, 21 Oct 2026 07:28:00 GMT",)),
        ("retry-after", (b"9" * 400,)),
        ("retry-after", (b"2", b"2")),
        ("server-leaving", (b"",)),
        ("server-leaving", (b"0",)),
        ("server-leaving", (b"yes",)),
        ("server-leaving", (b"1", b"0")),
    ],
)
def test_invalid_hint_is_counted_and_ignored(
    name: str, values: tuple[bytes, ...], caplog: pytest.LogCaptureFixture
) -> None:
    headers = [(name.title().encode(), value) for value in values]
    dialect = header.PlatformDialect()
    for _ in range(100):
        response = dialect.parse_response_head(503, headers)
        assert response.pause_s is None
        assert not response.is_leaving
        assert response.headers == headers
    assert dialect.invalid == {name: 100}
    assert 0 < len(caplog.records) <= 8


def test_unknown_response_header_is_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")
    dialect = header.PlatformDialect()
    known = [(b"Content-Type", b"a"), (b"Server-Limit", b"2"), (b"Date", b"b")]
    dialect.parse_response_head(200, known)
    assert not caplog.records
    for number in range(100):
        names = [b"Server-Mood", f"X-New-{number}".encode()]
        dialect.parse_response_head(200, [(name, b"1") for name in names])
    assert len(caplog.records) == header.MAX_LOGGED_NAMES


def make_record(state: str = "ready") -> bytes:
    return json.dumps(
        {
            "service": "lm",
            "address": "127.0.0.1:1",
            "zone": "z",
            "slots": 2,
            "state": state,
        }
    ).encode()


def list_usable(registry: replicas.ReplicaRegistry) -> set[str]:
    """Returns the replicas that may get new work."""
    listed = registry.list_replicas()
    return {name for name, known in listed.items() if not known.leaving}


def test_gone_replica_stays_listed_as_leaving() -> None:
    # Guards against requests sent to a stopped replica: a shard owner without
    # access to the store keeps granting it, and an entry that has forgotten the
    # replica would take its address from the grant.
    registry = replicas.ReplicaRegistry(1.6)
    registry.apply_changes([store.Change("a", make_record())], 0.0)
    registry.apply_changes([store.Change("a", None)], 10.0)
    assert registry.list_replicas()["a"].leaving
    registry.expire(10.0 + replicas.GONE_RETENTION_S)
    assert registry.list_replicas() == {}
    registry.apply_changes([store.Change("a", make_record())], 80.0)
    assert list_usable(registry) == {"a"}


def test_invalid_record_is_reported_and_ignored() -> None:
    with pytest.raises(record.RecordError, match="slots"):
        record.parse_record(b'{"service": "lm", "slots": 0}')
    registry = replicas.ReplicaRegistry(1.6)
    registry.apply_changes([store.Change("i", b"nonsense")], 0.0)
    assert registry.list_replicas() == {}


def test_leaving_replica_is_not_restored_by_stale_read() -> None:
    registry = replicas.ReplicaRegistry(1.6)
    registry.apply_changes([store.Change("i", make_record("draining"))], 0.0)
    registry.apply_snapshot([store.Change("i", make_record())], 1.0)
    assert registry.list_replicas()["i"].leaving


def test_single_removal_takes_effect_at_once() -> None:
    registry = replicas.ReplicaRegistry(1.6)
    registry.apply_changes([store.Change(n, make_record()) for n in "ab"], 0.0)
    registry.apply_changes([store.Change("a", None)], 10.0)
    assert list_usable(registry) == {"b"}


def test_records_expired_during_outage_are_awaited() -> None:
    registry = replicas.ReplicaRegistry(1.6)
    registry.apply_changes([store.Change(n, make_record()) for n in "abc"], 0.0)
    registry.record_store_error(9.0)
    registry.record_store_recovery(10.0)
    registry.apply_changes([store.Change(n, None) for n in "abc"], 10.1)
    assert not registry.expire(12.1)
    assert list_usable(registry) == {"a", "b", "c"}
    registry.apply_changes([store.Change("a", make_record())], 12.1)
    assert registry.expire(12.3)
    assert list_usable(registry) == {"a"}


def test_removal_after_recovery_is_not_delayed_long() -> None:
    # Guards against requests sent to a replica that stops shortly after the
    # store's recovery: one that stopped two seconds after it still got a
    # request 2.3 s later.
    registry = replicas.ReplicaRegistry(1.6)
    registry.apply_changes([store.Change("a", make_record())], 0.0)
    registry.record_store_recovery(10.0)
    registry.apply_changes([store.Change("a", None)], 12.0)
    assert registry.expire(13.7)
    assert list_usable(registry) == set()


def test_removal_and_rewrite_in_one_batch_keeps_replica() -> None:
    # Records expire during an outage of the store and are written again at its
    # recovery, so that one response may hold both.  Applying the removals last
    # permanently dropped three of four live backend servers of a service, as
    # no further records were written for them.
    registry = replicas.ReplicaRegistry(1.6)
    registry.apply_changes([store.Change(n, make_record()) for n in "abc"], 0.0)
    registry.record_store_recovery(10.0)
    went = [store.Change(n, None) for n in "abc"]
    came = [store.Change(n, make_record()) for n in "ab"]
    registry.apply_changes([*went, *came], 10.1)
    registry.expire(20.0)
    assert list_usable(registry) == {"a", "b"}


def test_write_and_removal_in_one_batch_removes_replica() -> None:
    registry = replicas.ReplicaRegistry(1.6)
    came = [store.Change("a", make_record()), store.Change("b", make_record())]
    registry.apply_changes([*came, store.Change("a", None)], 0.0)
    assert list_usable(registry) == {"b"}


def test_simultaneous_removals_are_delayed() -> None:
    registry = replicas.ReplicaRegistry(1.6)
    registry.apply_changes([store.Change(n, make_record()) for n in "ab"], 0.0)
    registry.apply_changes([store.Change(n, None) for n in "ab"], 10.0)
    assert not registry.expire(11.5)
    assert registry.expire(11.7)
    assert list_usable(registry) == set()


class _RecoveringStore(store.Store):
    """Store whose second read of changes fails; all others succeed."""

    def __init__(self) -> None:
        super().__init__("127.0.0.1:9")
        self.waits: list[float] = []

    async def read_newest(
        self, topic: str, on_bytes: Callable[[], Any] = list
    ) -> store.Changes:
        return store.Changes([], 5)

    async def read_changes(
        self,
        topic: str,
        offset: int,
        wait_s: float = store.READ_WAIT_S,
        timeout_s: float = store.READ_WAIT_S,
        on_bytes: Callable[[], Any] = list,
    ) -> store.Changes:
        self.waits.append(wait_s)
        if len(self.waits) == 2:
            raise store.StoreError("down")
        await anyio.sleep(0.01)
        return store.Changes([], offset)


class _LateBytesStore(store.Store):
    """Store whose last bytes arrive while the call is being cancelled."""

    async def _call(
        self,
        target: str,
        on_bytes: Callable[[], None],
        sent: bytes | None,
    ) -> store.StoreResponse:
        try:
            await anyio.sleep_forever()
        finally:
            on_bytes()
        raise AssertionError("the call returned without being cancelled")


def test_bytes_during_cancellation_raise_timeout_error() -> None:
    # Received bytes extend a call's deadline, so that a large response on a
    # slow link is not cancelled.  Bytes that arrived just at the deadline left
    # the call without a response and without a timeout error, and the process
    # ended with an UnboundLocalError.
    client = _LateBytesStore("127.0.0.1:9")
    with pytest.raises(store.StoreTimeoutError):
        anyio.run(client.read_changes, "topic", 0, 0.0, 0.05)


def test_store_recovery_is_noticed_without_record() -> None:
    # The recovery used to be noticed only with the next change of a record,
    # three seconds later, and a replica that stopped then was treated as one
    # whose record had expired during the outage.
    reader = _RecoveringStore()

    async def run() -> None:
        topic_reader = topic.TopicReader(
            reader,
            topic.REPLICA_TOPIC,
            lambda changes, is_snapshot: None,
            lambda: None,
        )
        # Only watching VMs read the store; the others learn of its
        # recovery from peers.
        topic_reader.set_watching(True)
        with anyio.move_on_after(1.0):
            await topic_reader.run()

    anyio.run(run)
    wait_s = propagation.WATCH_WAIT_S
    assert reader.waits[:4] == [wait_s, wait_s, 0.0, wait_s]
