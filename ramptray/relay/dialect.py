"""How requests and answers are spelled on the wire of a deployment."""

from __future__ import annotations

import abc

from result import Result

from ramptray.relay import message


class Dialect(abc.ABC):
    """Decodes callers' requests and backend servers' answers."""

    @abc.abstractmethod
    def parse_request(
        self, head: message.RequestHead
    ) -> Result[message.CallerRequest, message.InvalidRequest]:
        """Returns a caller's request, its body still empty."""

    @abc.abstractmethod
    def make_headers(
        self, request: message.CallerRequest, attempt: message.Attempt
    ) -> message.Headers:
        """Returns the headers of one attempt, but for its body's length."""

    @abc.abstractmethod
    def parse_response_head(
        self, status: int, headers: message.Headers
    ) -> message.ResponseHead:
        """Returns the decoded head of a backend server's answer."""

    @abc.abstractmethod
    def make_refusal_headers(
        self, request_id: str, retry_after_s: float
    ) -> message.Headers:
        """Returns the headers of an answer that ramptray gives itself.

        Args:
            request_id: The caller's request; empty where it is not known.
            retry_after_s: When to come back; 0 where nothing is advised.
        """
