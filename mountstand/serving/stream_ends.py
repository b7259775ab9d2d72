"""Confirms that a reply is whole whose end only the end of its connection tells.

A worker that ends closes its connections in the same way as one that has written all of a reply. So
such an end counts only once the worker has shown that it outlived it. What listens at its address
later may be a successor, and a port forwarder accepts connections for a worker that is gone. A
reset that follows the end tells that the worker gave up.
"""

from __future__ import annotations

import asyncio

from mountstand.serving.connections import WorkerConnections
from mountstand.serving.worker import Worker
from mountstand.transport.http_client import ClientConnection, ConnectFailed

MIN_RESTART_S = 0.75
"""A worker that has ended is not back at its address within this time."""

MIN_REFUSALS = 2
"""Refused connects after which no further one is tried. A worker with too many connections may
refuse one."""

PROBE_INTERVAL_S = 0.1

BUFFERED_DATA_GRACE_S = 0.1
"""Data that a worker sent before it ended may still be read for this long."""


async def outlived_by_worker(
    connections: WorkerConnections, worker: Worker, connection: ClientConnection
) -> bool:
    """Return whether ``worker`` is known to have outlived the end of ``connection``.

    It is if it accepts a new connection, or sends on another one, before a successor could, and has
    not reset ``connection`` meanwhile.
    """
    loop = asyncio.get_running_loop()
    refusals = 0
    while refusals < MIN_REFUSALS:
        accepted = False
        try:
            await connections.probe(worker)
            accepted = True
        except ConnectFailed as error:
            refusals += error.refused
        ended_at_s = connections.pauses.earliest_arrival_s(connection.ended_at_s)
        if loop.time() - ended_at_s > MIN_RESTART_S:
            return False
        if connection.was_reset:
            return False
        if accepted or worker.last_data_s > ended_at_s + BUFFERED_DATA_GRACE_S:
            return True
        await asyncio.sleep(PROBE_INTERVAL_S)
    return False
