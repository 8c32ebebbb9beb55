"""What passes between callers, the relay and backend servers, typed."""

from __future__ import annotations

import msgspec

Headers = list[tuple[bytes, bytes]]


class RequestHead(msgspec.Struct, frozen=True):
    """The head of an HTTP request as it arrived."""

    method: bytes
    target: bytes
    headers: Headers


class CallerRequest(msgspec.Struct, frozen=True):
    """A caller's request, decoded.

    Attributes:
        method: HTTP method.
        target: Path and query, unchanged.
        host: The host the caller named, without a port.
        headers: Headers that travel on, those of one connection left out.
        request_id: The id that the caller gave this attempt.
        deadline_s: Seconds the caller will wait; None where it does not say.
        key: The bearer key; None where there is none.
        prompt_tokens: Size of the prompt; None where it does not say.
        output_tokens: Most tokens that may be generated.
        likely_tokens: The caller's guess of the tokens generated.
        prefix: Chained hash of each part of the prompt, in order.
        prefix_tokens: Tokens of each part.
        last_event: The last event the caller has of an earlier stream.
        body: The whole body.
    """

    method: bytes
    target: bytes
    host: str
    headers: Headers
    request_id: str
    deadline_s: float | None
    key: str | None
    prompt_tokens: int | None
    output_tokens: int
    likely_tokens: int | None
    prefix: tuple[int, ...]
    prefix_tokens: tuple[int, ...]
    last_event: str | None
    body: bytes = b""


class InvalidRequest(msgspec.Struct, frozen=True):
    """A request that cannot be served as it is.

    Attributes:
        status: HTTP status of the answer.
        text: What is wrong with it.
    """

    status: int
    text: str


class Attempt(msgspec.Struct, frozen=True):
    """One sending of a request to one backend server.

    Attributes:
        backend: Name of the backend server that is meant.
        customer: The customer whose key the caller holds.
        deadline_s: Seconds the backend server may take.
        last_event: Where a stream goes on; None for its beginning.
    """

    backend: str
    customer: str
    deadline_s: float
    last_event: str | None


class ResponseHead(msgspec.Struct, frozen=True):
    """The head of a backend server's answer, decoded.

    Attributes:
        status: HTTP status.
        headers: Headers that travel on, those of one connection left out.
        request_id: The request that it answers; None where it does not say.
        not_run: Whether it says that the request has not run and never will.
        idle_s: Seconds that the connection may then stay idle; None where the
            response does not say.
        limit_per_s: Requests a second that the backend server accepts from
            all VMs together; None where it names no limit.
        is_leaving: Whether the backend server says that it is leaving.
        pause_s: Seconds for which a backend server that turned the request
            away wants nothing from this VM; None where it does not say.
    """

    status: int
    headers: Headers
    request_id: str | None
    not_run: bool
    idle_s: float | None
    limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float | None = None


class Response(msgspec.Struct, frozen=True):
    """A whole answer."""

    head: ResponseHead
    body: bytes
