"""Reads the callers' address from the settings file early during startup.

Imports only the standard library, so that it can run before the other modules
are loaded; ``settings`` reads and validates the whole file.
"""

from __future__ import annotations

import os
import pathlib
import tomllib

PATH_VARIABLE = "RAMPTRAY_CONFIG"
"""Environment variable with the path of the settings file."""


def read_callers_address() -> str | None:
    """Returns the address on which callers connect, None if there is none.

    Errors in the file are ignored here; ``settings`` reports them.
    """
    path = os.environ.get(PATH_VARIABLE)
    if path is None:
        return None
    try:
        listen = tomllib.loads(pathlib.Path(path).read_text()).get("listen")
    except Exception:
        return None
    front = listen.get("front") if isinstance(listen, dict) else None
    return front if isinstance(front, str) else None
