"""Command line, logging, signals and exit codes shared by all programs."""

from __future__ import annotations

import asyncio
import logging
import os
import pathlib
import signal
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio
import click
import msgspec
from pythonjsonlogger import msgspec as json_logger

import ramptray
from ramptray import logsink
from ramptray.bundle import parsing

LOG = logging.getLogger(__name__)

EXIT_OK = 0
EXIT_INVALID_INPUT = 2
"""The settings, the bundle or the arguments are invalid."""

EXIT_FAILED = 1
"""The program failed."""

SettingsT = TypeVar("SettingsT", bound=msgspec.Struct)


class ProcessError(Exception):
    """An error that ends the program; its message is one line."""


class Stop(msgspec.Struct, frozen=True):
    """Tells the tasks of a process that a planned stop was requested."""

    event: anyio.Event

    @property
    def is_requested(self) -> bool:
        """Whether the stop was requested."""
        return self.event.is_set()


Main = Callable[[Any, Stop], Awaitable[None]]


def make_command(
    name: str, settings_type: type[SettingsT], main: Main, description: str
) -> click.Command:
    """Returns the command of a long-running program.

    Args:
        name: Name of the program.
        settings_type: Model of its settings.
        main: Runs until a stop is requested and the running work has ended.
        description: Help text.
    """

    @click.command(name=name, help=description + _EXIT_CODES)
    @click.version_option(ramptray.__version__)
    @click.option(
        "--settings",
        "settings_file",
        type=click.Path(path_type=pathlib.Path),
        required=True,
        help="Settings in JSON with comments.",
    )
    def command(settings_file: pathlib.Path) -> None:
        try:
            settings = parsing.read_model(settings_file, settings_type)
        except parsing.InvalidFileError as error:
            click.echo(str(error), err=True)
            sys.exit(EXIT_INVALID_INPUT)
        configure_logging(name, getattr(settings, "log_level", "INFO"))
        try:
            anyio.run(_run, main, settings)
        except* (OSError, ProcessError) as group:
            for leaf in flatten_group(group):
                LOG.critical("ended by an error", exc_info=leaf)
                click.echo(f"{name}: {leaf}", err=True)
            sys.exit(EXIT_FAILED)
        except* Exception as group:
            for leaf in flatten_group(group):
                LOG.critical("ended by an unexpected exception", exc_info=leaf)
                traceback.print_exception(leaf)
            sys.stdout.flush()
            sys.stderr.flush()
            # Skips the interpreter's shutdown: libraries report there that the
            # event loop is closed, which would hide the cause.
            os._exit(EXIT_FAILED)

    return command


def flatten_group(group: BaseExceptionGroup[Any]) -> list[BaseException]:
    """Returns all exceptions of a group and its nested groups."""
    return [
        leaf
        for error in group.exceptions
        for leaf in (
            flatten_group(error)
            if isinstance(error, BaseExceptionGroup)
            else [error]
        )
    ]


def configure_logging(program: str, level: str) -> None:
    """Writes all logs to standard output as JSON lines."""
    handler = logsink.BoundedHandler(sys.stdout.fileno())
    formatter = json_logger.MsgspecFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level"},
        static_fields={"program": program},
    )
    # UTC, so that lines from VMs in different time zones can be compared.
    formatter.converter = time.gmtime
    handler.setFormatter(formatter)
    logging.basicConfig(level=level, handlers=[handler], force=True)
    for noisy in ("httpcore", "uvicorn.access", "asyncio"):
        logging.getLogger(noisy).setLevel(logging.WARNING)


def set_log_process(process: str) -> None:
    """Adds the name of the process to all further log lines."""
    for handler in logging.getLogger().handlers:
        if isinstance(handler.formatter, json_logger.MsgspecFormatter):
            handler.formatter.static_fields["process"] = process


async def _run(main: Main, settings: Any) -> None:
    stop = Stop(anyio.Event())
    logsink.set_batch_schedule(asyncio.get_running_loop().call_soon)
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_handle_signals, stop)
            await main(settings, stop)
            tasks.cancel_scope.cancel()
    finally:
        logsink.set_batch_schedule(None)


async def _handle_signals(stop: Stop) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            logging.getLogger(__name__).info("planned stop requested")
            stop.event.set()


_EXIT_CODES = """

Exit codes: 0 after a planned stop (SIGTERM), 1 if the work failed, 2 for a
mistake in the settings or arguments."""
