"""Connection pool to backend servers, one request per connection at a time."""

from __future__ import annotations

import abc
import collections
import contextlib
import functools
import itertools
import logging
from collections.abc import AsyncIterator, Collection, Iterable, Iterator

import anyio
import msgspec

from ramptray import resources, steadyclock
from ramptray.core import message as core_message
from ramptray.relay import backend_probe, byte_stream
from ramptray.relay import connection as connections
from ramptray.relay import dialect as dialects

LOG = logging.getLogger(__name__)

MAX_IDLE_NOT_REPEATABLE_S = 5.0
"""Longest idle time, in seconds, of a connection that is reused for a request
that may run only once.  If the server closes the connection while the request
is being sent, it is unknown whether the request ran.  The race lasts one round
trip; a connection that is already closed is detected."""

SILENCE_WINDOW_S = 1.0
"""Silences of several backend servers within this time, in seconds, count as
simultaneous."""

MIN_SIMULTANEOUS_SILENCES = 2
"""With this many simultaneous silences the connections are suspected rather
than the backend servers."""


LOST_PROBES = 3
"""Number of probes without an answer after which a former run counts as lost.
A single one may be lost on the way, or meet a server that is busy."""

LOST_PROBE_INTERVAL_S = 0.05
"""Time between two of these probes, in seconds."""


class Counters(msgspec.Struct):
    """Connections opened, reused and failed to open since the start."""

    opened: int = 0
    reused: int = 0
    refused: int = 0


class TunnelOpener(abc.ABC):
    """Opens tunnels to backend servers through other VMs."""

    @abc.abstractmethod
    async def open(self, target: connections.Target) -> byte_stream.ByteStream:
        """Opens a tunnel through the target's gateway.

        Raises:
            NotSentError: It could not be opened.
        """

    @abc.abstractmethod
    def report_hints(
        self, gateway: str, request_id: str, hints: core_message.ServerHints
    ) -> None:
        """Sends a gateway the hints of a response that came through it.

        A pause applies to the gateway, which the backend server takes for the
        sender of the request.

        Args:
            gateway: Address of the gateway.
            request_id: The request.
            hints: The hints.
        """


class RelayClient(resources.ConnectionPool):
    """Pool of connections to backend servers.

    Args:
        dialect: The headers of requests and responses.
        tunnels: Opens tunnels through other VMs; None if there are none.
        budget: Descriptors that the connections share with others; None for any
            number.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        tunnels: TunnelOpener | None = None,
        budget: resources.ResourceBudget | None = None,
    ) -> None:
        self._tunnels = tunnels
        self._budget = budget
        if budget is not None:
            budget.add_pool("servers", self)
        self.counters = Counters()
        self._dialect = dialect
        self._idle: dict[str, list[connections.Connection]] = (
            collections.defaultdict(list)
        )
        self._borrowed: set[connections.Connection] = set()
        self._last_silence_at: dict[str, float] = {}

    @property
    def connection_count(self) -> int:
        """See the base class.

        Tunnels count as well, though they share the links to other VMs: this is
        read for each answer, and looking at each connection would take long.
        """
        return len(self._borrowed) + sum(map(len, self._idle.values()))

    def list_resting(self) -> Iterator[resources.Resting]:
        """See the base class."""
        return (
            resources.Resting(
                resources.RestKind.KEPT,
                connection.idle_since,
                functools.partial(self._discard, connection),
            )
            for connection in itertools.chain.from_iterable(self._idle.values())
            if not connection.target.gateway
        )

    def _discard(self, connection: connections.Connection) -> None:
        """Closes an idle connection at once."""
        self._idle[connection.target.pool_key].remove(connection)
        connection.discard()

    @contextlib.asynccontextmanager
    async def borrow(
        self,
        target: connections.Target,
        not_repeatable: bool,
        gateways: Iterable[str] = (),
    ) -> AsyncIterator[connections.Connection]:
        """Borrows a connection; it returns to the pool if it is reusable.

        Args:
            target: The backend server.
            not_repeatable: Whether the request may not be sent a second time.
            gateways: Addresses of VMs to connect through, in order of
                preference; empty to connect directly.

        Raises:
            NotSentError: No connection could be opened.
        """
        connection = await self._checkout_any(
            [
                msgspec.structs.replace(target, gateway=gateway)
                for gateway in gateways
            ]
            or [target],
            not_repeatable,
        )
        self._borrowed.add(connection)
        reuse = False
        try:
            yield connection
            reuse = connection.reusable
        finally:
            self._borrowed.discard(connection)
            if reuse:
                connection.start_next_cycle()
                connection.idle_since = steadyclock.read()
                self._idle[connection.target.pool_key].append(connection)
            else:
                with anyio.CancelScope(shield=True):
                    await connection.close()

    async def leave_lost_runs(self, backend: str, run: int) -> None:
        """Leaves earlier runs of a backend server that were lost.

        A run that lost power sends nothing, so requests in flight would
        otherwise wait until its connections' keepalive fails.  An earlier run
        whose machine still answers keeps its requests, but gets no new ones.

        Args:
            backend: The backend server.
            run: Its current run.
        """
        current = connections.Target("", backend, run)
        for idle in itertools.chain(*self._idle.values()):
            if idle.target.is_other_run(current):
                idle.idle_timeout_s = 0.0
        in_use = [
            connection
            for connection in self._borrowed
            if connection.target.is_other_run(current)
        ]
        for former in {connection.target for connection in in_use}:
            began = steadyclock.read()
            # Probes of a VM whose event loop is late end before their answers
            # are read.
            is_lost = not (
                await self._is_answering(former)
                or self._has_sent(former, began)
            )
            LOG.info(
                "former run of a backend server",
                extra={
                    "backend": backend,
                    "run": former.run,
                    "address": former.address,
                    "lost": is_lost,
                },
            )
            if is_lost:
                await self._close_lost(former)

    async def _close_lost(self, former: connections.Target) -> None:
        for connection in list(self._borrowed):
            if connection.target == former:
                connection.is_run_lost = True
                await connection.close()

    def _has_sent(self, former: connections.Target, since: float) -> bool:
        """Returns whether anything has arrived from a former run.

        Args:
            former: The former run.
            since: From when on, in seconds.
        """
        return any(
            connection.heard_at >= since or not connection.is_usable()
            for connection in self._borrowed
            if connection.target == former
        )

    async def _is_answering(self, target: connections.Target) -> bool:
        """Returns whether something answers at the address of a server.

        A server that stops may refuse connections while it finishes its
        responses.  If its process has ended, the machine that refuses also
        resets its connections, at their next keepalive probe at the latest.
        Through a gateway this is not known; the gateway's own connection then
        shows whether the server is lost.
        """
        if target.gateway:
            return True
        for _ in range(LOST_PROBES):
            found = await backend_probe.probe_backend(
                target.address, target.delay_s
            )
            if found is not backend_probe.ProbeResult.SILENT:
                return True
            await anyio.sleep(LOST_PROBE_INTERVAL_S)
        return False

    async def run(self) -> None:
        """Closes expired connections at regular intervals until cancelled."""
        while True:
            await anyio.sleep(connections.IDLE_MARGIN_S)
            await self.close_expired(steadyclock.read())

    def expire_idle(self, keys: Iterable[str]) -> None:
        """Stops reusing the idle connections of these pools.

        The key of the direct connections to a server is its address.

        A connection from before a network cut accepts a request and then stays
        silent, whereas opening a new one soon shows whether the server can be
        reached.
        """
        for key in keys:
            for connection in self._idle[key]:
                connection.idle_timeout_s = 0.0

    def report_hints(
        self, gateway: str, request_id: str, hints: core_message.ServerHints
    ) -> None:
        """Sends a gateway the hints of a response; see ``TunnelOpener``."""
        if self._tunnels:
            self._tunnels.report_hints(gateway, request_id, hints)

    def expire_gateways(self, usable: Collection[str]) -> None:
        """Stops reusing the idle connections through other gateways than these.

        Args:
            usable: Addresses of the VMs that are alive.
        """
        for connection in itertools.chain(*self._idle.values()):
            gateway = connection.target.gateway
            if gateway and gateway not in usable:
                connection.idle_timeout_s = 0.0

    def expire_all_idle(self) -> None:
        """Stops reusing all idle connections."""
        self.expire_idle(list(self._idle))

    def record_silence(self, target: connections.Target, now: float) -> None:
        """Expires the idle connections that a silent server makes suspect.

        Many open connections may fall silent at the same time.  If several
        backend servers are silent at once, the connections are the likelier
        cause, and idle connections to all servers are expired.

        Args:
            target: The silent server.
            now: The current time, in seconds.
        """
        self._last_silence_at[target.pool_key] = now
        silent = {
            key: at
            for key, at in self._last_silence_at.items()
            if now - at < SILENCE_WINDOW_S
        }
        self._last_silence_at = silent
        simultaneous = len(silent) >= MIN_SIMULTANEOUS_SILENCES
        self.expire_idle(
            list(self._idle) if simultaneous else [target.pool_key]
        )

    async def probe(self, url: str) -> bool:
        """Returns whether a backend server can be reached.

        A connection that was opened is kept for the next request.
        """
        address = url.removeprefix("http://")
        try:
            connection = await self._open(connections.Target(address))
        except connections.NotSentError as error:
            return error.refused
        connection.idle_since = steadyclock.read()
        self._idle[address].append(connection)
        return True

    async def close_expired(self, now: float) -> None:
        """Closes idle connections that no request will use.

        They have reached their idle timeout, or something has arrived on them,
        which would stay in memory until then.
        """
        for idle in list(self._idle.values()):
            expired = [
                c
                for c in idle
                if now - c.idle_since >= c.idle_timeout_s or not c.is_usable()
            ]
            # Modified in place: _checkout may be using it while close awaits.
            for connection in expired:
                idle.remove(connection)
            for connection in expired:
                await connection.close()

    async def _checkout_any(
        self, targets: list[connections.Target], not_repeatable: bool
    ) -> connections.Connection:
        """Returns a connection on the first way that leads to the server.

        Ways with an idle connection come first.
        """
        failed: dict[str, core_message.GatewayFailure] = {}
        error = connections.NotSentError("no target", False)
        for target in sorted(
            targets, key=lambda each: not self._idle.get(each.pool_key)
        ):
            try:
                return await self._checkout(target, not_repeatable)
            except connections.NotSentError as latest:
                if latest.gateway_failure is not None:
                    failed[target.gateway] = latest.gateway_failure
                error = latest
        raise connections.NotSentError(
            str(error),
            error.refused,
            failed_gateways=failed,
            is_local=error.is_local,
        ) from error

    async def _checkout(
        self, target: connections.Target, not_repeatable: bool
    ) -> connections.Connection:
        now = steadyclock.read()
        idle = self._idle[target.pool_key]
        while idle:
            connection = idle.pop()
            max_idle_s = connection.idle_timeout_s
            if not_repeatable:
                max_idle_s = min(max_idle_s, MAX_IDLE_NOT_REPEATABLE_S)
            if connection.target.is_other_run(target):
                max_idle_s = 0.0
            if (
                now - connection.idle_since < max_idle_s
                and connection.is_usable()
            ):
                self.counters.reused += 1
                connection.target = target
                return connection
            await connection.close()
        return await self._open(target)

    async def _open(self, target: connections.Target) -> connections.Connection:
        try:
            if target.gateway and self._tunnels:
                stream = await self._tunnels.open(target)
                opened = connections.Connection(target, stream, self._dialect)
            else:
                if self._budget and not self._budget.make_room_for_server():
                    raise connections.NotSentError(
                        f"{target.address}: no descriptor left",
                        refused=False,
                        is_local=True,
                    )
                opened = await connections.open_connection(
                    target, self._dialect
                )
        except connections.NotSentError:
            self.counters.refused += 1
            raise
        self.counters.opened += 1
        return opened
