"""Tests of which packages a VM's program loads, as they delay each start."""

from __future__ import annotations

import subprocess
import sys

import pytest

EARLY_PACKAGES = frozenset(sys.stdlib_module_names) | {"ramptray"}
"""Packages that may be loaded before the callers' socket is open."""

ALLOWED_PACKAGES = EARLY_PACKAGES | {
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
"""Packages that the whole program may load. Each delays every start of a VM:
with pydantic and cryptography a start took 0.71 s of CPU time and 60 MB,
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
    [
        ("ramptray.node.start", EARLY_PACKAGES),
        ("ramptray.node.main", ALLOWED_PACKAGES),
    ],
)
def test_program_loads_only_allowed_packages(
    module: str, allowed: frozenset[str]
) -> None:
    result = subprocess.run(
        [sys.executable, "-c", SCRIPT.format(module=module)],
        capture_output=True,
        text=True,
        check=True,
    )
    assert set(result.stdout.split()) - allowed == set()
