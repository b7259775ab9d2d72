"""Free ports on loopback for experiments and tests."""

from __future__ import annotations

import socket

LOOPBACK = "127.0.0.1"


def free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and UDP just now."""
    sockets = []
    ports: list[int] = []
    while len(ports) < count:
        tcp = socket.socket()
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sockets += [tcp, udp]
        tcp.bind((LOOPBACK, 0))
        port = tcp.getsockname()[1]
        try:
            udp.bind((LOOPBACK, port))
        except OSError:
            continue
        ports.append(port)
    for opened in sockets:
        opened.close()
    return ports
