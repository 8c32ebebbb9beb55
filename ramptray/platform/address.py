"""Finds the callers' address in the settings file, before all else is loaded.

It imports nothing but the standard library; ``settings`` reads and checks the
whole file.
"""

from __future__ import annotations

import os
import pathlib
import tomllib

PATH_VARIABLE = "RAMPTRAY_CONFIG"
"""Environment variable with the path of the settings file."""


def read_callers_address() -> str | None:
    """Returns the address on which callers connect, None if there is none.

    A mistake in the file is told when it is read as a whole.
    """
    path = os.environ.get(PATH_VARIABLE)
    if path is None:
        return None
    try:
        listen = tomllib.loads(pathlib.Path(path).read_text()).get("listen")
    except (OSError, tomllib.TOMLDecodeError):
        return None
    found = listen.get("front") if isinstance(listen, dict) else None
    return found if isinstance(found, str) else None
