"""Runs a VM's program whose links to backend servers lead through proxies.

All VMs know a backend server by the same address.  Here each VM's connections
to it go to a proxy of that VM, so that a test can partition a single VM.
"""

from __future__ import annotations

import asyncio
import functools
import json
import os
import pathlib
from typing import Any

from ramptray.node import start

LINKS = pathlib.Path(os.environ["RAMPTRAY_TEST_LINKS"])
"""A JSON file with the proxy of each address."""


def _translate(host: Any, port: Any) -> tuple[Any, Any]:
    links = json.loads(LINKS.read_text()) if LINKS.exists() else {}
    proxy = links.get(f"{host}:{port}")
    if proxy is None:
        return host, port
    host, _, port = proxy.rpartition(":")
    return host, int(port)


def _translate_connections(loop: type[asyncio.BaseEventLoop]) -> None:
    create_connection: Any = loop.create_connection

    @functools.wraps(create_connection)
    async def connect(
        self: Any,
        factory: Any,
        host: Any = None,
        port: Any = None,
        **other: Any,
    ) -> Any:
        host, port = _translate(host, port)
        return await create_connection(self, factory, host, port, **other)

    loop.create_connection = connect  # type: ignore


if __name__ == "__main__":
    _translate_connections(asyncio.BaseEventLoop)
    start.run()
