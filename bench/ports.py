"""Loopback ports that no other process of this machine's tests is given."""

from __future__ import annotations

import fcntl
import functools
import io
import os
import pathlib
import random
import socket
import tempfile

PORTS = range(20_000, 32_768)
"""Below the range from which the kernel takes ports of outgoing connections."""

_RNG = random.Random(os.urandom(16))
_reserved: set[int] = set()


class PortError(Exception):
    """No port is free."""


def reserve_port() -> int:
    """Returns a free port that is reserved until this process ends.

    A port that is only looked up may be given to another process before the
    program that is to use it has opened its socket.

    Raises:
        PortError: All ports are taken.
    """
    for port in _RNG.sample(PORTS, len(PORTS)):
        if port not in _reserved and _lock(port) and _is_free(port):
            _reserved.add(port)
            return port
    raise PortError("all ports are taken")


@functools.cache
def _open_lock_file() -> io.TextIOWrapper:
    name = f"ramptray-ports-{os.getuid()}"
    return (pathlib.Path(tempfile.gettempdir()) / name).open("a")


def _lock(port: int) -> bool:
    """Locks the port's byte of the lock file until this process ends."""
    try:
        fcntl.lockf(_open_lock_file(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
