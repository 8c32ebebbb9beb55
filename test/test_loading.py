"""What a VM's program loads: it is paid for at each start, before any work."""

from __future__ import annotations

import subprocess
import sys

import pytest

EARLY = frozenset(sys.stdlib_module_names) | {"ramptray"}
"""Packages that may be loaded before the callers' socket is open."""

LATE = EARLY | {
    "anyio",
    "click",
    "grpc",
    "h11",
    "hdrh",
    "msgspec",
    "pyhdrh",
    "pyjson5",
    "pythonjsonlogger",
    "result",
    "sniffio",
    "typing_extensions",
    "xxhash",
    "zstandard",
}
"""Packages that the whole program may load: each costs every start of every VM.
With pydantic and cryptography that took 0.71 s of processor time and 60 MB,
without them 0.37 s and 40 MB (medians of 20 starts)."""

SCRIPT = """
import sys
known = set(sys.modules)
import {module}
loaded = {{name.partition(".")[0] for name in set(sys.modules) - known}}
# Compiled packages name their runtime after the version of their compiler.
print(*(name for name in loaded if "cython_" not in name))
"""


@pytest.mark.parametrize(
    ("module", "allowed"),
    [("ramptray.node.start", EARLY), ("ramptray.node.main", LATE)],
)
def test_a_vm_s_program_loads_nothing_that_it_does_not_need(
    module: str, allowed: frozenset[str]
) -> None:
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT.format(module=module)],
        capture_output=True,
        text=True,
        check=True,
    )
    assert set(done.stdout.split()) - allowed == set()
