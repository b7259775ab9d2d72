"""A worker is removed from the list while one daemon can't reach the store and its peer restarts.

The daemon takes the version of the list from the peer, but not the removal: the peer read the list
after it. So the daemon goes on with the removed worker.
"""

from __future__ import annotations

import asyncio
import signal

from review.common.kit import LOCAL, TROUBLE, CannotRun, Record, Site, call, play
from review.common.link import Link
from tests.stand_ins.worker import StandInWorker, whole

DRAIN_S = 2.0
CONTACT_S = 3.0
CUT_S = 5.0
MAX_CUT_S = 5.5
SETTLE_S = 3.0
REQUESTS = 40


async def scenario(record: Record) -> bool:
    """Return whether no request reached the removed worker later than the bound."""
    loop = asyncio.get_running_loop()
    async with Site(record) as site:
        leaving = await site.add_worker(StandInWorker("leaving", whole()), "album-app", 6)
        staying = await site.add_worker(StandInWorker("staying", whole()), "album-app", 6)
        link = await Link(site.store.port).start()
        cut_off = site.daemon("front-1", link.port)
        peer = site.daemon("front-2")
        seeds = [f"{LOCAL}:{daemon.control}" for daemon in (cut_off, peer)]
        for daemon in (cut_off, peer):
            daemon.settings["seeds"] = seeds
            await daemon.start()
        for daemon in (cut_off, peer):
            await daemon.wait_ready()
        await asyncio.sleep(SETTLE_S)

        cut_at_s = loop.time()
        if TROUBLE:
            record.note("front-1 is partitioned from the store (reset)")
            link.cut()
        await asyncio.sleep(0.5)
        if TROUBLE:
            peer.signal(signal.SIGKILL)
            await peer.ended()
        await site.store.remove("servers", "leaving")
        removed_at_s = loop.time()
        record.note("store: servers/leaving removed; the worker serves on for 15 s")
        if TROUBLE:
            await peer.start()
        await peer.wait_ready()
        await asyncio.sleep(max(0.0, cut_at_s + CUT_S - loop.time()))
        link.heal()
        if loop.time() - cut_at_s > MAX_CUT_S:
            raise CannotRun("the cut lasted longer than the site plays it")
        record.note("front-1 reaches the store again")
        await asyncio.sleep(CONTACT_S + 0.5)

        record.note("front-1 is in touch: nothing has struck it for longer than contact_ms")
        for number in range(REQUESTS):
            headers = {"Request-Id": f"r{number}", "Deadline-Ms": "4000"}
            status, _ = await call(cut_off.front, "POST", f"/thumb/{number}", b"size", headers)
            record.note(f"request r{number} to front-1: {status}")
            await asyncio.sleep(0.02)
        late = [got for got in leaving.received if got.at_s > removed_at_s + DRAIN_S]
        for got in late:
            record.note(
                f"worker leaving ran {got.request_id} {got.at_s - removed_at_s:.2f} s later"
            )
        record.note(f"worker staying ran {len(staying.received)}")
        for line in cut_off.log_lines("table_from_peer"):
            record.note(f"log of front-1: {line}")
        link.stop()
        return not late


play(__file__, scenario)
