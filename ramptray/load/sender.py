"""Sends requests and checks their answers as a caller would."""

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

READ_TIMEOUT_S = 120.0
"""Maximum time between two reads of an answer, in seconds."""

MAX_CONNECT_ATTEMPTS = 10
CONNECT_RETRY_DELAY_S = 0.1
RESEND_DELAY_S = 0.5


class RequestResult(msgspec.Struct):
    """Result of one request.

    Attributes:
        number: Position in the schedule.
        tier: Its tier.
        customer: Its customer.
        sent_at: Time of sending, in seconds after the start of the load.
        outcome: ``complete``, ``not_run``, ``unknown``, ``late`` if the
            caller cancelled at its deadline, or ``broken`` if the connection
            to the entry failed or the answer was cut off or invalid.
        reason: Why there is no complete answer.
        whole: Whether the answer equals the expected one.
        status: HTTP status; 0 for none.
        key: Its idempotency key, if any.
        request_id: Id given by the entry.
        tokens: Output tokens received.
        first_token_s: Time to the first token.
        total_s: Time to the end, over all attempts.
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
        """Whether the answer was complete, correct and in time."""
        in_time = self.total_s <= self.deadline_s
        return self.outcome == "complete" and self.whole and in_time


class LoadSender:
    """Sends requests to the entries in rotation, as a load balancer would."""

    def __init__(self, settings: plan.LoadSettings) -> None:
        self._settings = settings
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=4000, max_keepalive_connections=200
        )
        self._entries: Iterator[str] = itertools.cycle(settings.entries)

    async def send(
        self, request: plan.ScheduledRequest, sent_at: float
    ) -> RequestResult:
        """Sends a request, and resends it if configured; returns the result."""
        result = RequestResult(
            request.number,
            request.load_class.tier,
            request.load_class.customer,
            sent_at,
            request.load_class.deadline_s,
            request.key,
        )
        started_at = steadyclock.read()
        for _ in range(request.load_class.resends + 1):
            result.outcome, result.reason = "broken", ""
            with anyio.move_on_after(request.load_class.deadline_s) as deadline:
                await self._send_with_retries(request, result, started_at)
            if deadline.cancelled_caught:
                result.outcome = "late"
            result.attempts.append((result.request_id, result.outcome))
            if result.outcome == "complete" or result.reason == "key_done":
                break
            if request.load_class.resends:
                await anyio.sleep(RESEND_DELAY_S)
        result.total_s = steadyclock.read() - started_at
        return result

    async def _send_with_retries(
        self,
        request: plan.ScheduledRequest,
        result: RequestResult,
        started_at: float,
    ) -> None:
        for _ in range(MAX_CONNECT_ATTEMPTS):
            result.request_id = ""
            try:
                await self._send(request, result, started_at)
                break
            except (httpcore.ConnectError, httpcore.ConnectTimeout):
                await anyio.sleep(CONNECT_RETRY_DELAY_S)
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
            ) as error:
                result.reason = type(error).__name__
                break

    async def _send(
        self,
        request: plan.ScheduledRequest,
        result: RequestResult,
        started_at: float,
    ) -> None:
        result.entry = next(self._entries).rstrip("/")
        url = result.entry + _get_path(request)
        async with self._pool.stream(
            "POST",
            url,
            headers=list(self._make_headers(request).items()),
            content=_make_body(request),
            extensions={"timeout": {"connect": 1.0, "read": READ_TIMEOUT_S}},
        ) as response:
            result.status = response.status
            result.request_id = _get_request_id(response)
            load_class = request.load_class
            if (
                response.status == 200
                and load_class.stream
                and _is_chat(request)
            ):
                await _read_stream(response, request, result, started_at)
                return
            body = b"".join([part async for part in response.aiter_stream()])
            _check_whole_answer(body, request, result)

    def _make_headers(self, request: plan.ScheduledRequest) -> dict[str, str]:
        key = self._settings.keys[request.load_class.customer]
        headers = {
            "authorization": f"Bearer {key}",
            "content-type": "application/json",
            "x-ramptray-tier": request.load_class.tier,
            "x-ramptray-deadline-s": str(request.load_class.deadline_s),
        }
        if request.key:
            headers["idempotency-key"] = request.key
        return headers


async def _read_stream(
    response: httpcore.Response,
    request: plan.ScheduledRequest,
    result: RequestResult,
    started_at: float,
) -> None:
    splitter = event.EventSplitter()
    text: list[str] = []
    last_token_at = started_at
    async for data in response.aiter_stream():
        for parsed_event in splitter.feed(data):
            if parsed_event.is_end:
                result.outcome = "complete"
                result.whole = is_expected_answer("".join(text), request)
                return
            chunk = msgspec.json.decode(parsed_event.data)
            if "error" in chunk:
                result.outcome = chunk["error"]["outcome"]
                result.reason = chunk["error"]["reason"]
                return
            token = chunk["choices"][0]["delta"].get("content")
            if not token:
                continue
            now = steadyclock.read()
            if result.first_token_s is None:
                result.first_token_s = now - started_at
            else:
                result.gaps.append(now - last_token_at)
            last_token_at = now
            text.append(token)
            result.tokens += 1
    result.reason = "silent_end"


def _check_whole_answer(
    body: bytes, request: plan.ScheduledRequest, result: RequestResult
) -> None:
    try:
        parsed: Any = msgspec.json.decode(body)
    except msgspec.DecodeError:
        result.reason = "not_json"
        return
    if "error" in parsed and isinstance(parsed["error"], dict):
        result.outcome = parsed["error"]["outcome"]
        result.reason = parsed["error"]["reason"]
        return
    result.outcome = "complete"
    if not _is_chat(request):
        result.whole = parsed.get("body") == request.prompt
        return
    text = parsed["choices"][0]["message"]["content"]
    result.tokens = len(text.split())
    result.whole = is_expected_answer(text, request)


def is_expected_answer(text: str, request: plan.ScheduledRequest) -> bool:
    """Returns whether a text is the complete answer to the request's prompt."""
    prompt = main.render_prompt(_make_chat_body(request))
    tag = batch.tag_prompt(prompt)
    count = batch.draw_output_tokens(prompt, request.max_tokens)
    expected = "".join(f"{tag}-{n} " for n in range(1, count + 1))
    return text == expected


def _is_chat(request: plan.ScheduledRequest) -> bool:
    return request.load_class.kind is plan.Kind.CHAT


def _get_path(request: plan.ScheduledRequest) -> str:
    if _is_chat(request):
        return "/v1/chat/completions"
    return f"/services/{request.load_class.service}/work"


def _make_chat_body(request: plan.ScheduledRequest) -> dict[str, Any]:
    return {
        "model": request.load_class.service,
        "messages": [{"role": "user", "content": request.prompt}],
        "max_tokens": request.max_tokens,
        "stream": request.load_class.stream,
    }


def _make_body(request: plan.ScheduledRequest) -> bytes:
    if _is_chat(request):
        return msgspec.json.encode(_make_chat_body(request))
    return request.prompt.encode()


def _get_request_id(response: httpcore.Response) -> str:
    return next(
        (
            value.decode()
            for name, value in response.headers
            if name.lower() == b"x-request-id"
        ),
        "",
    )
