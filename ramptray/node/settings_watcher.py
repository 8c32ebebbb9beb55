"""Watches the settings file that the platform writes for this VM."""

from __future__ import annotations

import logging
import os
import pathlib
import signal
from collections.abc import Callable

import anyio

from ramptray.platform import settings as vm_settings

LOG = logging.getLogger(__name__)

CHECK_INTERVAL_S = 1.0
"""Time between two checks whether the file has changed, in seconds.  A signal
is sent for some changes only."""

Version = tuple[int, int, int]
"""Modification time in ns, size in bytes and inode of a file."""


class SettingsWatcher:
    """Reads the file again after a signal and after each change.

    Args:
        path: The file.
        on_change: Called with the new settings.
    """

    def __init__(
        self,
        path: pathlib.Path,
        on_change: Callable[[vm_settings.VmSettings], None],
    ) -> None:
        self._path = path
        self._on_change = on_change
        self._version = _read_version(path)

    async def run(self) -> None:
        """Watches until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_signals)
            while True:
                await anyio.sleep(CHECK_INTERVAL_S)
                self.check()

    def check(self) -> None:
        """Reads the file if it has changed."""
        if _read_version(self._path) != self._version:
            self._reload()

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGHUP) as signals:
            async for _ in signals:
                self._reload()

    def _reload(self) -> None:
        # Before the file is read: a change during the read is seen next time.
        self._version = _read_version(self._path)
        try:
            settings = vm_settings.read_settings(self._path)
        except vm_settings.SettingsError as error:
            LOG.error("settings not reloaded", extra={"detail": str(error)})
            return
        LOG.info("settings reloaded", extra={"seeds": settings.seeds})
        self._on_change(settings)


def _read_version(path: pathlib.Path) -> Version | None:
    """Returns what changes with the file; None if it cannot be read."""
    try:
        found = os.stat(path)
    except OSError:
        return None
    return (found.st_mtime_ns, found.st_size, found.st_ino)
