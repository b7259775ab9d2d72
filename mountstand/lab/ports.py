"""Free ports on loopback for experiments and tests.

A port that was drawn is bound by another process a moment later, or is not bound while that process
is started again. Until the process that drew it ends, no other process of this user draws it. Ports
come from below the range from which the system takes the ports of outgoing connections: a port of
that range could be taken by any connection in between.
"""

from __future__ import annotations

import fcntl
import os
import socket
import tempfile
from collections.abc import Iterator
from functools import cache
from pathlib import Path
from typing import BinaryIO

LOOPBACK = "127.0.0.1"
FIRST_PORT = 10_000
OUTGOING_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
USUAL_OUTGOING_START = 32_768
PROBE_TIMEOUT_S = 1.0
STRIDE = 997
"""Processes begin at different places, so that two that draw at once rarely try the same port."""


def first_outgoing_port() -> int:
    """Return the lowest port that the system takes for outgoing connections."""
    try:
        return int(OUTGOING_RANGE_FILE.read_text().split()[0])
    except (OSError, ValueError, IndexError):
        return USUAL_OUTGOING_START


def candidates(start: int) -> Iterator[int]:
    """Return ports to try, each once until all were tried; ``start`` tells with which to begin."""
    count = max(1, first_outgoing_port() - FIRST_PORT)
    while True:
        for offset in range(count):
            yield FIRST_PORT + (start + offset) % count


_candidates = candidates(os.getpid() * STRIDE)


@cache
def reservations() -> BinaryIO:
    """Return the file on which the processes of this user reserve ports.

    A lock on the byte at a port's number reserves that port, until the process that holds it ends.
    It must be opened once: closing a file ends all locks that its process holds on it.
    """
    return (Path(tempfile.gettempdir()) / f"mountstand-ports-{os.getuid()}").open("ab")


def reserve(port: int) -> bool:
    """Reserve a port for this process; return whether no other process has."""
    try:
        fcntl.lockf(reservations(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


def is_free(port: int) -> bool:
    """Return whether ``port`` can be bound for TCP and UDP just now."""
    with (
        socket.socket() as tcp,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
    ):
        try:
            tcp.bind((LOOPBACK, port))
            udp.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


def free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and UDP, and reserve them for this process.

    None is given out twice by one process.
    """
    ports: list[int] = []
    for port in _candidates:
        if len(ports) == count:
            break
        if reserve(port) and is_free(port):
            ports.append(port)
    return ports


def accepts_connections(port: int) -> bool:
    """Return whether a process listens on ``port``."""
    with socket.socket() as probe:
        probe.settimeout(PROBE_TIMEOUT_S)
        return probe.connect_ex((LOOPBACK, port)) == 0
