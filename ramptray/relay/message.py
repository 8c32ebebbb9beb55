"""Types of the requests and responses that the relay handles."""

from __future__ import annotations

import msgspec

Headers = list[tuple[bytes, bytes]]


class RequestHead(msgspec.Struct, frozen=True):
    """The head of an HTTP request as received."""

    method: bytes
    target: bytes
    headers: Headers


class CallerRequest(msgspec.Struct, frozen=True):
    """A caller's request, decoded.

    Attributes:
        method: HTTP method.
        target: Path and query, unchanged.
        host: The host the caller named, without a port.
        headers: End-to-end headers; hop-by-hop headers are removed.
        request_id: The id that the caller gave this attempt.
        deadline_s: Seconds the caller will wait; None if not given.
        key: The bearer key; None if not given.
        prompt_tokens: Size of the prompt; None if not given.
        output_tokens: Largest number of tokens that may be generated.
        likely_tokens: The caller's estimate of the tokens generated.
        prefix: Chained hash of each part of the prompt, in order.
        prefix_tokens: Number of tokens in each part.
        part_ids: Id of each part, in order, as the caller wrote it but in
            lower case.
        last_event: Id of the last event the caller received of an earlier
            stream.
        resumes: The id of the attempt that brought the first event of the
            stream, if the caller resumes one; None if not given.
        body: The complete body.
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
    resumes: str | None = None
    body: bytes | bytearray = b""
    part_ids: tuple[str, ...] = ()


class InvalidRequest(msgspec.Struct, frozen=True):
    """Why a request is invalid.

    Attributes:
        status: HTTP status of the response.
        text: What is wrong with the request.
    """

    status: int
    text: str


class Attempt(msgspec.Struct, frozen=True):
    """One attempt to serve a request at a backend server.

    Attributes:
        backend: Name of the intended backend server.
        customer: The customer whose key the caller holds.
        deadline_s: Seconds the backend server may take.
        last_event: Id of the event after which a stream resumes; None to start
            at its beginning.
    """

    backend: str
    customer: str
    deadline_s: float
    last_event: str | None


class ResponseHead(msgspec.Struct, frozen=True):
    """The head of a backend server's response, decoded.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers; hop-by-hop headers are removed.
        request_id: Id of the request it belongs to; None if not given.
        not_run: Whether it says that the request has not run and never will.
        idle_s: Seconds that the connection may then stay idle; None where the
            response does not say.
        limit_per_s: Requests per second that the backend server accepts from
            all VMs together; None if it names no limit.
        is_leaving: Whether the backend server says that it is leaving.
        pause_s: Seconds for which a backend server that refused the request
            wants no further requests from this VM; None if not given.
        max_refusals_per_s: Refusals for want of room in a second beyond which
            the backend server falls over; None if it names none.
    """

    status: int
    headers: Headers
    request_id: str | None
    not_run: bool
    idle_s: float | None
    limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float | None = None
    max_refusals_per_s: float | None = None


class Response(msgspec.Struct, frozen=True):
    """A complete response."""

    head: ResponseHead
    body: bytes
