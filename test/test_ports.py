"""Two programs of the tests are never given the same port."""

from __future__ import annotations

import subprocess
import sys

from bench import ports

PROGRAM = """
import sys
from bench import ports
print(*(ports.reserve_port() for _ in range(100)), flush=True)
sys.stdin.read()
"""


def test_no_port_is_given_twice() -> None:
    programs = [
        subprocess.Popen(
            [sys.executable, "-c", PROGRAM],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(3)
    ]
    given = [ports.reserve_port() for _ in range(100)]
    for program in programs:
        assert program.stdout is not None
        given += [int(port) for port in program.stdout.readline().split()]
    for program in programs:
        program.communicate()
    assert len(set(given)) == len(given) == 400
    assert not any(port >= 32_768 for port in given)
