"""TCP connection that saves system calls and timers.

The relay forwards streams of many small events on VMs with a tenth of a core.
anyio's streams register and unregister the socket with the event loop on each
read, and each timeout costs a timer and a cancel scope.  Here the socket is
always read, up to a limit, and a timer is restarted only if it would fire too
late.
"""

from __future__ import annotations

import array
import asyncio
import contextlib
import errno
import fcntl
import math
import os
import select
import socket
import struct
import termios
import threading
from collections.abc import Callable
from typing import Any

import anyio

from ramptray import connecting, receive_buffer, steadyclock
from ramptray import deadline as deadlines
from ramptray.core import user_timeout
from ramptray.relay import byte_stream

MAX_UNREAD_BYTES = 16 * 1024
"""Limit of bytes that no reader waits for, for each of thousands of
connections; then the socket is not read, so that TCP flow control stops the
peer."""

MAX_READ_BYTES = 64 * 1024
"""Largest read for a reader that waits, in bytes."""

FLUSH_TIMEOUT_S = 30.0
"""How long the kernel goes on to send to a peer that does not read, in seconds,
after the connection was closed here: as long as a caller may leave its response
unread."""

LEAVE_CHECK_INTERVAL_S = 0.2
"""Time between two looks whether a peer whose bytes are not read has ended its
side, in seconds."""

LINGER_S = 2.0
"""How long after the last answer a closing connection reads and drops what
arrives, in seconds (RFC 9112, section 9.6): a peer may stand still for about a
second before it reads the answer."""

LINGER_BYTES = 16 * 1024 * 1024
"""How many bytes it drops at most: four times the default limit of bodies."""

KEEPALIVE_INTERVAL_S = 1
"""Idle time and interval of TCP keepalive probes, in seconds; 1 is the kernel's
minimum.  A connection that dies while idle, or while a response is awaited, is
detected after twice this time; without probes it would never be."""

_SIOCOUTQNSD = 0x894B
"""Linux: number of bytes written to a socket that have not been sent."""

_TCP_INFO_START = struct.Struct("=2xBB20xI28xI")
"""Fields of ``struct tcp_info``: unanswered retransmissions and window probes,
unacknowledged packets, milliseconds since the last acknowledgement."""

_TCP_RTO_MAX_MS = 44
"""Linux 6.15 and later: longest time between two retransmissions or window
probes, in milliseconds."""

_NO_LINGER = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a close resets the connection."""


class _ReadBuffers(threading.local):
    """Holds the bytes of one read, for all connections of a thread.

    asyncio's own reads take up to 256 KiB whatever a protocol has room for.
    """

    def __init__(self) -> None:
        self.buffer = memoryview(bytearray(MAX_READ_BYTES))


_BUFFERS = _ReadBuffers()


class SocketStream(byte_stream.ByteStream, asyncio.BufferedProtocol):
    """A connected socket, read by one task and written by one task.

    Attributes:
        max_read_bytes: Largest read for a reader that waits, in bytes; at most
            ``MAX_READ_BYTES``.
        on_end: Called once when the peer has closed its side or the connection
            is lost.
        on_unread_limit: Called when as many bytes as may be are unread; returns
            how many more may be until they are read.
    """

    def __init__(self) -> None:
        self.max_read_bytes = MAX_READ_BYTES
        self.on_end: Callable[[], object] | None = None
        self.on_unread_limit: Callable[[], int] | None = None
        self._max_unread_bytes = MAX_UNREAD_BYTES
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._unread = bytearray()
        self._reading_paused = False
        self._ended = False
        self._has_left = False
        self._lost = False
        self._error: Exception | None = None
        self._closed = False
        self._writing_paused = False
        self._read_waiter: asyncio.Future[None] | None = None
        self._write_waiter: asyncio.Future[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._sent_at = -math.inf
        self._deadline = math.inf
        self._timer_fires_at = math.inf
        self._user_timeout: user_timeout.UserTimeout | None = None
        self._former_rto_max_ms: int | None = None
        self._check_timer: asyncio.TimerHandle | None = None
        self._leave_timer: asyncio.TimerHandle | None = None

    # asyncio.BufferedProtocol callbacks.

    def connection_made(self, transport: Any) -> None:
        """Stores the transport."""
        self._transport = transport
        # No write buffer: send waits until the peer accepts the data.
        transport.set_write_buffer_limits(0)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns where the event loop reads bytes to; not empty."""
        if self._is_awaited:
            return _BUFFERS.buffer[: self.max_read_bytes]
        left = self._max_unread_bytes - len(self._unread)
        return _BUFFERS.buffer[: max(1, left)]

    def buffer_updated(self, nbytes: int) -> None:
        """Keeps bytes until they are read."""
        self._unread += _BUFFERS.buffer[:nbytes]
        if self._is_awaited:
            _wake(self._read_waiter)
        elif not self._reading_paused and self._is_full():
            self._reading_paused = True
            self._get_transport().pause_reading()
            if self._leave_timer is None:
                self._schedule_leave_check()

    def _is_full(self) -> bool:
        """Returns whether no more bytes may be kept until some are read."""
        size = len(self._unread)
        if size >= self._max_unread_bytes and self.on_unread_limit is not None:
            self._max_unread_bytes += self.on_unread_limit()
        return size >= self._max_unread_bytes

    @property
    def _is_awaited(self) -> bool:
        """Whether a reader waits, which takes all bytes as soon as it runs."""
        return self._read_waiter is not None and not self._read_waiter.done()

    def eof_received(self) -> bool:
        """Marks the end of the peer's data; the peer may still read."""
        self._set_ended()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Marks the connection as lost."""
        self._lost = True
        self._error = self._error or exc
        self._set_ended()
        _wake(self._write_waiter)
        for timer in (self._timer, self._check_timer, self._leave_timer):
            if timer is not None:
                timer.cancel()

    def pause_writing(self) -> None:
        """Marks that the peer does not accept the written data."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Marks that the written data has been accepted."""
        self._writing_paused = False
        self._sent_at = steadyclock.read()
        _wake(self._write_waiter)

    def is_idle(self) -> bool:
        """See the base class.

        Also looks at what the event loop has not read from the socket yet.
        """
        sock = self.get_socket()
        if sock is None or self._unread or self._ended or self._closed:
            return False
        return not self._has_arrivals()

    @property
    def has_ended(self) -> bool:
        """Whether the peer has closed its side; bytes of it may be unread."""
        return self._has_left

    @property
    def unread_since(self) -> float | None:
        """Since when the peer has not read what is written; None if it does.

        In seconds of the steady clock.
        """
        return self._sent_at if self._writing_paused else None

    def count_unread_bytes(self) -> int:
        """Returns how many received bytes were not read, also by the loop."""
        sock = self.get_socket()
        waiting = _count_bytes(sock, termios.FIONREAD) if sock else 0
        return len(self._unread) + waiting

    def get_socket(self) -> socket.socket | None:
        """Returns the socket; None if it is closed."""
        found: socket.socket | None = self._get_transport().get_extra_info(
            "socket"
        )
        return None if found is None or found.fileno() < 0 else found

    async def receive(self, timeout_s: float | None = None) -> bytes:
        """See the base class."""
        while not self._unread:
            self._check_open()
            if self._ended:
                raise anyio.EndOfStream
            await self._wait_readable(timeout_s)
        data = bytes(self._unread)
        self._unread.clear()
        self._max_unread_bytes = MAX_UNREAD_BYTES
        if self._reading_paused and not self._lost:
            self._reading_paused = False
            self._get_transport().resume_reading()
        return data

    def end_wait(self) -> None:
        """Ends the reader's wait as if its time were over."""
        waiter = self._read_waiter
        if waiter is not None and not waiter.done():
            waiter.set_exception(TimeoutError("nothing arrived in time"))

    def set_read_limits(self, read_bytes: int, kernel_bytes: int) -> None:
        """Sets how much is read at once, and waits in the kernel until then.

        Args:
            read_bytes: See ``max_read_bytes``.
            kernel_bytes: What the kernel may keep, in bytes.
        """
        self.max_read_bytes = read_bytes
        sock = self.get_socket()
        if sock is not None:
            receive_buffer.limit(sock, kernel_bytes)

    async def send(self, data: bytes, timeout_s: float) -> None:
        """See the base class; waits until the kernel has accepted the bytes."""
        self._check_open()
        if self._lost:
            raise anyio.BrokenResourceError
        self._sent_at = steadyclock.read()
        self._get_transport().write(data)
        if self._check_timer is None:
            self._begin_checks()
        if not self._writing_paused:
            return
        with deadlines.fail_after(timeout_s):
            while self._writing_paused:
                self._check_open()
                self._write_waiter = self._loop.create_future()
                await self._write_waiter
        self._check_open()

    async def linger(self) -> int:
        """Ends this side, and drops what arrives until the peer ends its own.

        A close with unread bytes resets the connection, which may take away an
        answer that the peer has not read.  Waits until ``LINGER_S`` after the
        last answer at most, so not at all on a connection that was idle for
        longer.

        Returns:
            How many bytes were dropped.
        """
        if self._closed or self._ended or self._writing_paused:
            return 0
        deadline = self._sent_at + LINGER_S
        dropped = 0
        with contextlib.suppress(
            OSError,
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            self._get_transport().write_eof()
            while dropped <= LINGER_BYTES:
                left_s = max(0.0, deadline - steadyclock.read())
                dropped += len(await self.receive(left_s))
                if not left_s:
                    break
        return dropped

    def close(self) -> None:
        """See the base class."""
        if not self._closed:
            self._closed = True
            self._get_transport().abort()
            _wake(self._read_waiter)
            _wake(self._write_waiter)

    def reset(self) -> None:
        """Closes the connection with a reset, which the peer sees as an error.

        Drops unsent bytes.
        """
        sock = None if self._closed else self.get_socket()
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        self.close()

    def flush_and_close(self) -> None:
        """Sends the written data and closes the connection.

        If the peer has stopped reading, the data is dropped instead.
        """
        if self._writing_paused:
            self.close()
        elif not self._closed:
            self._closed = True
            sock = self.get_socket()
            if sock is not None and _count_unsent_bytes(sock):
                _set_user_timeout(sock, FLUSH_TIMEOUT_S)
                if self._former_rto_max_ms is not None:
                    # The kernel drops a closed connection whose probes have
                    # reached their longest interval.
                    _set_rto_max(sock, self._former_rto_max_ms)
            self._get_transport().close()

    def _get_transport(self) -> asyncio.Transport:
        assert self._transport is not None
        return self._transport

    def _check_open(self) -> None:
        if self._closed:
            raise anyio.ClosedResourceError
        if self._lost and self._error is not None:
            raise anyio.BrokenResourceError from self._error

    def _set_ended(self) -> None:
        if self._ended:
            return
        self._ended = True
        _wake(self._read_waiter)
        self._record_leave()

    def _record_leave(self) -> None:
        if self._has_left:
            return
        self._has_left = True
        if self.on_end is not None:
            self.on_end()

    def _schedule_leave_check(self) -> None:
        self._leave_timer = self._loop.call_later(
            LEAVE_CHECK_INTERVAL_S, self._check_leave
        )

    def _check_leave(self) -> None:
        """Looks for an end that the event loop, which does not read, misses."""
        self._leave_timer = None
        sock = self.get_socket()
        if not self._reading_paused or self._closed or sock is None:
            return
        if _has_hung_up(sock):
            self._record_leave()
        elif not self._has_left:
            self._schedule_leave_check()

    def _begin_checks(self) -> None:
        """Checks the peer's window until all written bytes have been sent."""
        sock = self.get_socket()
        if sock is None:
            return
        if self._writing_paused or _count_unsent_bytes(sock):
            if self._former_rto_max_ms is None:
                self._former_rto_max_ms = _bound_probe_interval(sock)
            self._user_timeout = user_timeout.make_user_timeout(
                self._former_rto_max_ms is not None,
                steadyclock.read_monotonic(),
            )
            _set_user_timeout(sock, self._user_timeout.limit_s)
            self._schedule_check()

    def _schedule_check(self) -> None:
        self._check_timer = self._loop.call_later(
            user_timeout.CHECK_INTERVAL_S, self._check_window
        )

    def _check_window(self) -> None:
        self._check_timer = None
        sock = self.get_socket()
        if self._closed or self._lost or sock is None:
            return
        assert self._user_timeout is not None
        queue = _read_send_queue(sock)
        former_s = self._user_timeout.limit_s
        self._user_timeout.update(queue, steadyclock.read_monotonic())
        if self._user_timeout.is_lost:
            self._end_lost(sock)
            return
        if self._user_timeout.limit_s != former_s:
            _set_user_timeout(sock, self._user_timeout.limit_s)
        if queue.unsent_bytes or self._writing_paused:
            self._schedule_check()

    def _end_lost(self, sock: socket.socket) -> None:
        """Ends the connection to a lost peer, as the kernel would."""
        self._error = TimeoutError(
            errno.ETIMEDOUT, os.strerror(errno.ETIMEDOUT)
        )
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        self._get_transport().abort()

    async def _wait_readable(self, timeout_s: float | None) -> None:
        self._read_waiter = self._loop.create_future()
        self._deadline = math.inf
        if timeout_s is not None:
            self._set_timer(steadyclock.read() + timeout_s)
        try:
            await self._read_waiter
        except TimeoutError:
            if self._unread or self._ended or self._has_arrivals():
                return
            raise
        finally:
            self._read_waiter = None

    def _set_timer(self, deadline: float) -> None:
        """Sets the reader's deadline; keeps a timer that fires early enough."""
        self._deadline = deadline
        if self._timer is not None:
            if self._timer_fires_at <= deadline:
                return
            self._timer.cancel()
        self._start_timer()

    def _start_timer(self) -> None:
        self._timer_fires_at = self._deadline
        left_s = max(0.0, self._deadline - steadyclock.read())
        self._timer = self._loop.call_later(left_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        waiter = self._read_waiter
        if waiter is None or waiter.done() or self._deadline == math.inf:
            return
        if steadyclock.read() < self._deadline:
            self._start_timer()
            return
        self.end_wait()

    def _has_arrivals(self) -> bool:
        """Returns whether the kernel holds anything that was not read.

        After a pause of the process the event loop runs due timers before it
        reads its sockets, which it does in its next turn.
        """
        sock = self.get_socket()
        return sock is not None and is_readable(sock)


def _wake(waiter: asyncio.Future[None] | None) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


def is_readable(sock: socket.socket) -> bool:
    """Returns whether bytes, a connection, an end or an error can be read."""
    return _has_event(sock, select.POLLIN)


def _has_hung_up(sock: socket.socket) -> bool:
    """Returns whether the peer has closed its side or reset the connection."""
    return _has_event(sock, select.POLLRDHUP)


def _has_event(sock: socket.socket, events: int) -> bool:
    """Returns whether one of some events, a hang-up or an error is there."""
    poll = select.poll()
    poll.register(sock.fileno(), events)
    return bool(poll.poll(0))


def _count_unsent_bytes(sock: socket.socket) -> int:
    """Returns how many written bytes wait; 0 where the kernel does not say."""
    return _count_bytes(sock, _SIOCOUTQNSD)


def _count_bytes(sock: socket.socket, request: int) -> int:
    """Returns a number of bytes that the kernel gives; 0 if it does not."""
    count = array.array("i", [0])
    try:
        fcntl.ioctl(sock.fileno(), request, count)
    except OSError:
        return 0
    return count[0]


def _read_send_queue(sock: socket.socket) -> user_timeout.SendQueue:
    info = sock.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_START.size
    )
    retransmissions, probes, unacknowledged, silent_ms = _TCP_INFO_START.unpack(
        info
    )
    return user_timeout.SendQueue(
        _count_unsent_bytes(sock),
        unacknowledged,
        retransmissions,
        probes,
        silent_ms / 1000,
    )


def _set_user_timeout(sock: socket.socket, limit_s: float) -> None:
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, round(limit_s * 1000)
    )


def _bound_probe_interval(sock: socket.socket) -> int | None:
    """Bounds the time between window probes.

    Returns:
        The former bound in milliseconds; None if the kernel has no bound.
    """
    try:
        former_ms = sock.getsockopt(socket.IPPROTO_TCP, _TCP_RTO_MAX_MS)
        _set_rto_max(sock, round(user_timeout.MAX_PROBE_INTERVAL_S * 1000))
    except OSError:
        return None
    return former_ms


def _set_rto_max(sock: socket.socket, rto_max_ms: int) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, _TCP_RTO_MAX_MS, rto_max_ms)


async def connect(host: str, port: int) -> SocketStream:
    """Opens a connection.

    Raises:
        OSError: The host is unreachable, unknown or refused the connection.
    """
    loop = asyncio.get_running_loop()
    with connecting.translate_errors(f"{host}:{port}"):
        _, opened = await loop.create_connection(SocketStream, host, port)
    set_socket_options(opened)
    return opened


async def accept(listening: socket.socket) -> SocketStream:
    """Accepts the next connection of a listening socket.

    Raises:
        OSError: It could not be accepted.
    """
    while (stream := await accept_queued(listening)) is None:
        await anyio.wait_readable(listening)
    return stream


async def accept_queued(listening: socket.socket) -> SocketStream | None:
    """Accepts a connection that waits in the queue; None if there is none.

    Raises:
        OSError: It could not be accepted.
    """
    try:
        sock, _ = listening.accept()
    except BlockingIOError:
        return None
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    _, opened = await loop.connect_accepted_socket(SocketStream, sock)
    return opened


def set_socket_options(stream: SocketStream) -> None:
    """Sets timeouts that detect an unreachable peer within seconds.

    Also turns off Nagle's algorithm.

    Raises:
        OSError: The connection has ended already.
    """
    sock = stream.get_socket()
    if sock is None:
        raise OSError("the connection has ended")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    _set_user_timeout(sock, user_timeout.UNACKNOWLEDGED_S)
