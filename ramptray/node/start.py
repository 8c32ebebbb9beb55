"""Starts ``ramptray-node``: opens the callers' socket, then loads the program.

Loading takes about 0.3 s of CPU time, more on a small VM.  Callers that connect
meanwhile wait in the socket's backlog instead of being refused.  Therefore this
module may import only the standard library before the socket is open.
"""

from __future__ import annotations

import signal
import sys

from ramptray.node import listener
from ramptray.platform import address


def run() -> None:
    """Opens the callers' socket, then loads and runs the program."""
    # Until the program handles the signal, its default would end the process;
    # the settings are read later anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        callers = address.read_callers_address()
        if callers is not None:
            listener.open_early(callers)
    except OSError as error:
        # The program tries again and reports the error.
        print(
            f"cannot open the callers' socket early: {error}", file=sys.stderr
        )
    from ramptray.node import main

    main.run()


if __name__ == "__main__":
    run()
