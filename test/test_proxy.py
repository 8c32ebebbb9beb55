"""The proxy that stands in for links in tests."""

from __future__ import annotations

import socket
import time

from bench import proxy


def test_link_whose_delay_ends_does_not_reorder() -> None:
    # A caller in a soak seemed to get the events of a stream out of order.
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
        link = proxy.Proxy(f"{host}:{port}")
        try:
            name, _, number = link.address.rpartition(":")
            with socket.create_connection((name, int(number))) as caller:
                caller.settimeout(2.0)
                server, _ = listener.accept()
                link.delay_s = 0.3
                server.sendall(b"1")
                time.sleep(0.1)
                link.delay_s = 0.0
                server.sendall(b"2")
                received = b""
                while len(received) < 2:
                    received += caller.recv(10)
                server.close()
        finally:
            link.close()
    assert received == b"12"
