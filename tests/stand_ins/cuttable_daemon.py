"""A serving process whose datagrams are dropped while a file says so.

Run as ``python -m tests.stand_ins.cuttable_daemon``. ``CUT_FILE`` names the file; it holds what is
dropped: ``in``, ``out`` or ``all``. Its calls to the store are cut by a proxy before the store.
"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path
from typing import Any

from mountstand import serving_node
from mountstand.membership.datagrams import DatagramMembership
from mountstand.platform.__main__ import main

CUT_VARIABLE = "CUT_FILE"


def is_cut(direction: str) -> bool:
    """Return whether datagrams in a direction, ``in`` or ``out``, are dropped now."""
    try:
        cut = Path(os.environ[CUT_VARIABLE]).read_text()
    except FileNotFoundError:
        return False
    return cut in (direction, "all")


class CuttableTransport:
    """Sends datagrams unless they are cut."""

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def sendto(self, data: bytes, addr: Any = None) -> None:
        """Send a datagram, or drop it."""
        if not is_cut("out"):
            self._transport.sendto(data, addr)  # type: ignore[attr-defined]


class CuttableMembership(DatagramMembership):
    """Membership on a link that can be cut."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the bound socket."""
        super().connection_made(CuttableTransport(transport))  # type: ignore[arg-type]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a peer's datagram, or drop it."""
        if not is_cut("in"):
            super().datagram_received(data, addr)


if __name__ == "__main__":
    serving_node.DatagramMembership = CuttableMembership  # type: ignore[misc]
    sys.exit(main())
