"""Starts ``ramptray-node``: opens the callers' socket, then loads the program.

Loading takes some 0.3 s of a core, more on a small VM.  Callers that connect
meanwhile wait in the socket's queue instead of being refused.  So this module
must import nothing but the standard library before the socket is open.
"""

from __future__ import annotations

import sys

from ramptray.node import listener
from ramptray.platform import address


def run() -> None:
    """Opens the callers' socket and runs the program."""
    try:
        callers = address.read_callers_address()
        if callers is not None:
            listener.open_early(callers)
    except OSError as error:
        # The program tries again and says what is wrong.
        print(f"callers' socket not opened early: {error}", file=sys.stderr)
    from ramptray.node import main

    main.run()


if __name__ == "__main__":
    run()
