"""Uses the records of topics one by one, and counts those passed over.

Anyone may write records, and a VM that starts reads all of them again.  So an
odd record costs that record alone: it ends no task, and the others are used.
"""

from __future__ import annotations

import collections
import contextlib
import logging
from collections.abc import Iterator

from ramptray import decoding
from ramptray.caller import metrics

LOG = logging.getLogger(__name__)

MAX_LOGGED_KEYS = 256
"""Number of keys for which a record that was passed over is logged.  Anyone may
write keys, so their number is not bounded."""

MAX_KEY_CHARS = 64
"""Length of a key in a log line."""


class RecordIntake:
    """Counts and logs what became of the records that this VM read.

    A topic whose records were read but passed over looks the same to callers as
    one that was not read.
    """

    def __init__(self) -> None:
        self._read: collections.Counter[str] = collections.Counter()
        self._passed_over: collections.Counter[str] = collections.Counter()
        self._logged: set[tuple[str, str]] = set()

    def count_read(self, topic: str, count: int) -> None:
        """Counts records that were read."""
        self._read[topic] += count

    @contextlib.contextmanager
    def guard(self, topic: str, key: str) -> Iterator[None]:
        """Passes over a record whose decoding or use fails.

        Args:
            topic: The topic.
            key: The record's key.
        """
        try:
            with decoding.translate_errors():
                yield
        except decoding.DecodeError as error:
            self.pass_over(topic, key, str(error))

    def count_passed_over(self, topic: str) -> None:
        """Counts a record that is not used, which the caller logs."""
        self._passed_over[topic] += 1

    def pass_over(self, topic: str, key: str, detail: str) -> None:
        """Counts a record that is not used, and logs its key once.

        Args:
            topic: The topic.
            key: The record's key.
            detail: Why it is not used.
        """
        self.count_passed_over(topic)
        named = (topic, key)
        if named in self._logged or len(self._logged) >= MAX_LOGGED_KEYS:
            return
        self._logged.add(named)
        LOG.warning(
            "record passed over",
            extra={
                "topic": topic,
                "key": key[:MAX_KEY_CHARS],
                "detail": detail,
            },
        )

    def describe(self) -> dict[str, dict[str, int]]:
        """Returns the number of records read and passed over by topic."""
        return {
            topic: {"read": count, "passed_over": self._passed_over[topic]}
            for topic, count in (self._read | self._passed_over).items()
        }

    def list_gauges(self) -> list[metrics.Gauge]:
        """Returns the numbers of records by topic."""
        return [
            metrics.Gauge(name, {"topic": topic}, count)
            for name, counts in (
                ("records_read", self._read),
                ("records_passed_over", self._passed_over),
            )
            for topic, count in sorted(counts.items())
        ]
