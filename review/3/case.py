"""Requests that are sent more than 3 s after SIGTERM are taken, passed on to a worker and cut off.

The worker streams at a usual pace and is sound. Some requests come on a connection that was open
before, some on new ones.
"""

from __future__ import annotations

import asyncio
import signal

from mountstand.transport.http_client import (
    ClientConnection,
    ConnectFailed,
    ReplyBroken,
    connect,
)
from review.common.kit import HOST, LOCAL, TROUBLE, Record, Site, play
from tests.stand_ins.worker import StandInWorker, stream

EVENTS = 15
EVENT_GAP_S = 0.42
"""Pauses below the 500 ms of the sheet; the stream takes 5.9 s, the route allows 8 s."""

GRACE_S = 8.0
TIMEOUT_S = 8.0
EXCUSED_SENT_S = 3.0
DAEMONS = 3
"""One of them is stopped, less than the share of the site's `roll_term`."""


def excused(sent_s: float, cut_s: float) -> bool:
    """Return whether the rule excuses an answer that was cut; times are since SIGTERM.

    It does if the request came up to 3 s after SIGTERM and was at work in the last sixth of the
    grace, if deadline and timeout (8 s both) were reached, or if the planned stop was over.
    """
    late_work = sent_s <= EXCUSED_SENT_S and cut_s >= GRACE_S * 5 / 6
    return late_work or cut_s - sent_s >= TIMEOUT_S or cut_s > GRACE_S + 1


async def request(
    record: Record, request_id: str, conn: ClientConnection, sigterm_s: float, after_s: float
) -> str:
    """Send a stream ``after_s`` after SIGTERM; returns its id if its answer was cut."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(sigterm_s + after_s - loop.time())
    if not conn.open:
        record.note(f"{request_id}: not sent, the daemon has closed the connection")
        return ""
    headers = [("Host", HOST), ("Request-Id", request_id), ("Deadline-Ms", "8000")]
    sent_s = loop.time()
    record.note(f"{request_id}: sent {sent_s - sigterm_s:.2f} s after SIGTERM")
    conn.send("POST", "/caption/1", [*headers, ("Token-Count", "543,31")], b"photo")
    body = b""
    try:
        head = await conn.read_head()
        while (piece := await conn.read_piece()) is not None:
            body += piece
    except ReplyBroken as problem:
        events = body.count(b"\n\n")
        record.note(
            f"{request_id}: connection ended ({problem}) {loop.time() - sent_s:.2f} s after it was"
            f" sent, {events} of {EVENTS} events"
        )
        return "" if excused(sent_s - sigterm_s, loop.time() - sigterm_s) else request_id
    record.note(f"{request_id}: status {head.status}, complete, {body.count(b'id:')} events")
    return ""


async def scenario(record: Record) -> bool:
    """Return whether no request was lost that a worker had got."""
    loop = asyncio.get_running_loop()
    async with Site(record) as site:
        worker = await site.add_worker(StandInWorker("llm-1", stream(EVENTS, gap_s=EVENT_GAP_S)))
        daemons = [site.daemon(f"front-{number}") for number in range(1, DAEMONS + 1)]
        seeds = [f"{LOCAL}:{daemon.control}" for daemon in daemons]
        for daemon in daemons:
            daemon.settings["seeds"] = seeds
            await daemon.start()
        for daemon in daemons:
            await daemon.wait_ready()
        await asyncio.sleep(1.0)
        daemon = daemons[0]
        kept = await connect(LOCAL, daemon.front, 1.0)
        kept.send("GET", "/nowhere/1", [("Host", HOST), ("Request-Id", "r0")])
        record.note(f"r0: status {(await kept.read_head()).status}, its connection is kept")
        await kept.read_body()
        kept.end_exchange()
        if TROUBLE:
            daemon.signal(signal.SIGTERM)
        sigterm_s = loop.time()
        tasks = [asyncio.create_task(request(record, "r1", kept, sigterm_s, 3.04))]
        await asyncio.sleep(sigterm_s + 3.02 - loop.time())
        for number, after_s in ((2, 3.06), (3, 3.1), (4, 3.4)):
            try:
                conn = await connect(LOCAL, daemon.front, 1.0)
            except ConnectFailed as problem:
                record.note(f"r{number}: not sent, no connection ({problem})")
                continue
            tasks.append(
                asyncio.create_task(request(record, f"r{number}", conn, sigterm_s, after_s))
            )
        lost = [request_id for request_id in await asyncio.gather(*tasks) if request_id]
        if TROUBLE:
            await daemon.ended()
            record.note(f"{loop.time() - sigterm_s:.2f} s after SIGTERM; grace_s is {GRACE_S:g}")
        ran = {got.request_id for got in worker.received}
        record.note(f"requests that the worker got: {sorted(ran)}")
        return not ran.intersection(lost)


play(__file__, scenario)
