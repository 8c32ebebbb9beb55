"""Sends one request and judges its answer as a caller would."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from typing import Any

import anyio
import httpcore
import msgspec

from ramptray import steadyclock
from ramptray.engine import event
from ramptray.load import plan
from ramptray.standin.engine import batch, main

ANSWER_S = 120.0
"""Longest silence of an answer, in seconds."""

CONNECT_TRIES = 10
CONNECT_PAUSE_S = 0.1
RESEND_PAUSE_S = 0.5


class Hit(msgspec.Struct):
    """What became of one request.

    Attributes:
        number: Its place in the schedule.
        tier: Its tier.
        customer: Its customer.
        sent_at: When it was sent, in seconds from the beginning.
        outcome: ``complete``, ``not_run``, ``unknown``, ``late`` where the
            caller hung up at its deadline, or ``broken`` where the entry
            itself went away.
        reason: Why there is no whole answer.
        whole: Whether the answer was whole and this request's own.
        status: HTTP status; 0 for none.
        key: Its idempotency key, if any.
        request_id: The entry's name for it.
        tokens: Output tokens that arrived.
        first_token_s: Time to the first token.
        total_s: Time to the end.
        gaps: Times between tokens.
        entry: The entry's base URL.
        attempts: Request ids of all attempts, with their outcomes.
        deadline_s: Its deadline.
    """

    number: int
    tier: str
    customer: str
    sent_at: float
    deadline_s: float
    key: str | None = None
    outcome: str = "broken"
    reason: str = ""
    whole: bool = False
    status: int = 0
    request_id: str = ""
    tokens: int = 0
    first_token_s: float | None = None
    total_s: float = 0.0
    gaps: list[float] = msgspec.field(default_factory=list)
    entry: str = ""
    attempts: list[tuple[str, str]] = msgspec.field(default_factory=list)

    @property
    def useful(self) -> bool:
        """Whether the answer was whole and in time."""
        in_time = self.total_s <= self.deadline_s
        return self.outcome == "complete" and self.whole and in_time


class Shooter:
    """Sends requests to the entries, as the platform's balancer would."""

    def __init__(self, settings: plan.LoadSettings) -> None:
        self._settings = settings
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=4000, max_keepalive_connections=200
        )
        self._entries: Iterator[str] = itertools.cycle(settings.entries)

    async def shoot(self, shot: plan.Shot, sent_at: float) -> Hit:
        """Sends a request and returns what became of it."""
        hit = Hit(
            shot.number,
            shot.kind.tier,
            shot.kind.customer,
            sent_at,
            shot.kind.deadline_s,
            shot.key,
        )
        began = steadyclock.read()
        for _ in range(shot.kind.resends + 1):
            hit.outcome, hit.reason = "broken", ""
            with anyio.move_on_after(shot.kind.deadline_s) as patience:
                await self._try(shot, hit, began)
            if patience.cancelled_caught:
                hit.outcome = "late"
            hit.attempts.append((hit.request_id, hit.outcome))
            if hit.outcome == "complete" or hit.reason == "key_done":
                break
            if shot.kind.resends:
                await anyio.sleep(RESEND_PAUSE_S)
        hit.total_s = steadyclock.read() - began
        return hit

    async def _try(self, shot: plan.Shot, hit: Hit, began: float) -> None:
        for _ in range(CONNECT_TRIES):
            hit.request_id = ""
            try:
                await self._send(shot, hit, began)
                break
            except (httpcore.ConnectError, httpcore.ConnectTimeout):
                await anyio.sleep(CONNECT_PAUSE_S)
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
            ) as error:
                hit.reason = type(error).__name__
                break

    async def _send(self, shot: plan.Shot, hit: Hit, began: float) -> None:
        hit.entry = next(self._entries).rstrip("/")
        url = hit.entry + _get_path(shot)
        async with self._pool.stream(
            "POST",
            url,
            headers=list(self._make_headers(shot).items()),
            content=_make_body(shot),
            extensions={"timeout": {"connect": 1.0, "read": ANSWER_S}},
        ) as response:
            hit.status = response.status
            hit.request_id = _get_request_id(response)
            kind = shot.kind
            if response.status == 200 and kind.stream and _is_chat(shot):
                await _read_stream(response, shot, hit, began)
                return
            body = b"".join([part async for part in response.aiter_stream()])
            _judge_whole(body, shot, hit)

    def _make_headers(self, shot: plan.Shot) -> dict[str, str]:
        key = self._settings.keys[shot.kind.customer]
        headers = {
            "authorization": f"Bearer {key}",
            "content-type": "application/json",
            "x-ramptray-tier": shot.kind.tier,
            "x-ramptray-deadline-s": str(shot.kind.deadline_s),
        }
        if shot.key:
            headers["idempotency-key"] = shot.key
        return headers


async def _read_stream(
    response: httpcore.Response, shot: plan.Shot, hit: Hit, began: float
) -> None:
    splitter = event.EventSplitter()
    text: list[str] = []
    last = began
    async for data in response.aiter_stream():
        for found in splitter.feed(data):
            if found.is_end:
                hit.outcome = "complete"
                hit.whole = is_own_answer("".join(text), shot)
                return
            chunk = msgspec.json.decode(found.data)
            if "error" in chunk:
                hit.outcome = chunk["error"]["outcome"]
                hit.reason = chunk["error"]["reason"]
                return
            piece = chunk["choices"][0]["delta"].get("content")
            if not piece:
                continue
            now = steadyclock.read()
            if hit.first_token_s is None:
                hit.first_token_s = now - began
            else:
                hit.gaps.append(now - last)
            last = now
            text.append(piece)
            hit.tokens += 1
    hit.reason = "silent_end"


def _judge_whole(body: bytes, shot: plan.Shot, hit: Hit) -> None:
    try:
        parsed: Any = msgspec.json.decode(body)
    except msgspec.DecodeError:
        hit.reason = "not_json"
        return
    if "error" in parsed and isinstance(parsed["error"], dict):
        hit.outcome = parsed["error"]["outcome"]
        hit.reason = parsed["error"]["reason"]
        return
    hit.outcome = "complete"
    if not _is_chat(shot):
        hit.whole = parsed.get("body") == shot.prompt
        return
    text = parsed["choices"][0]["message"]["content"]
    hit.tokens = len(text.split())
    hit.whole = is_own_answer(text, shot)


def is_own_answer(text: str, shot: plan.Shot) -> bool:
    """Returns whether a text is the whole answer to this very prompt."""
    prompt = main.render_prompt(_make_parsed(shot))
    tag = batch.tag_prompt(prompt)
    count = batch.draw_output_tokens(prompt, shot.max_tokens)
    expected = "".join(f"{tag}-{n} " for n in range(1, count + 1))
    return text == expected


def _is_chat(shot: plan.Shot) -> bool:
    return shot.kind.kind is plan.Kind.CHAT


def _get_path(shot: plan.Shot) -> str:
    if _is_chat(shot):
        return "/v1/chat/completions"
    return f"/services/{shot.kind.service}/work"


def _make_parsed(shot: plan.Shot) -> dict[str, Any]:
    return {
        "model": shot.kind.service,
        "messages": [{"role": "user", "content": shot.prompt}],
        "max_tokens": shot.max_tokens,
        "stream": shot.kind.stream,
    }


def _make_body(shot: plan.Shot) -> bytes:
    if _is_chat(shot):
        return msgspec.json.encode(_make_parsed(shot))
    return shot.prompt.encode()


def _get_request_id(response: httpcore.Response) -> str:
    return next(
        (
            value.decode()
            for name, value in response.headers
            if name.lower() == b"x-request-id"
        ),
        "",
    )
