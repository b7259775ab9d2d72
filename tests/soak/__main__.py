"""Runs one soak: ``python -m tests.soak --seed 7 --duration-s 90``; the last line is JSON."""

from __future__ import annotations

import asyncio
import json
import random
import subprocess
import sys
import tempfile
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa

from tests.soak.callers import Callers
from tests.soak.crashing import CrashBursts, CrashingCallers
from tests.soak.faults import FaultInjector
from tests.soak.history import Violation
from tests.soak.site import ROOT, Site
from tests.soak.tenants import WINDOW_S
from tests.soak.workers import EVENT_GAP_S, LONG_EVENT_GAP_S

SETTLE_S = 30.0
"""After the last fault, all accepted work must end within this time."""

BEFORE_UPGRADE_SHARE = 0.2
"""Part of the soak in which the former version runs alone."""

TRACE_LINES = 40
TRACEBACK = "Traceback (most recent call last)"


@cappa.command(name="soak", help="Randomized fault soak of real serving processes on loopback.")
@dataclass
class Soak:
    """Settings of one soak."""

    seed: Annotated[int, cappa.Arg(long=True, help="Seed of all that is drawn")] = 1
    duration_s: Annotated[float, cappa.Arg(long=True, help="Seconds with faults")] = 60.0
    processes: Annotated[int, cappa.Arg(long=True, help="Serving processes")] = 4
    workers: Annotated[int, cappa.Arg(long=True, help="Workers")] = 5
    callers: Annotated[int, cappa.Arg(long=True, help="Online callers at once")] = 8
    fault_gap_s: Annotated[float, cappa.Arg(long=True, help="Mean time between faults")] = 1.0
    keep_open: Annotated[bool, cappa.Arg(long=True, help="Callers use connections again")] = False
    series: Annotated[bool, cappa.Arg(long=True, help="Faults come in series as well")] = False
    bursts: Annotated[
        bool, cappa.Arg(long=True, help="Workers crash in bursts, in place of by requests")
    ] = False
    zones: Annotated[bool, cappa.Arg(long=True, help="Two zones; cold workers")] = False
    versions: Annotated[
        bool, cappa.Arg(long=True, help="Workers of two software versions, side by side")
    ] = False
    production: Annotated[str, cappa.Arg(long=True, help="Commit that runs at first")] = ""
    logs: Annotated[str, cappa.Arg(long=True, help="Folder that keeps the logs")] = ""


async def run_soak(options: Soak, folder: Path) -> dict[str, Any]:
    """Run a soak; returns its figures."""
    rng = random.Random(options.seed)
    crash_rng = random.Random(f"crashing {options.seed}")
    code = former_code(options.production, folder) if options.production else ROOT
    site = Site(
        options.processes,
        options.workers,
        folder,
        rng,
        crash_rng,
        zones=options.zones,
        code=code,
        event_gap_s=LONG_EVENT_GAP_S if options.bursts else EVENT_GAP_S,
        versions=options.versions,
    )
    callers = Callers(
        site, crash_rng, keeps_open=options.keep_open, crashing_items=not options.bursts
    )
    crashing: CrashBursts | CrashingCallers = (
        CrashBursts(crash_rng, site.crash_some)
        if options.bursts
        else CrashingCallers(crash_rng, callers.send_crashing)
    )
    injector = FaultInjector(site, in_series=options.series)
    _check_routes_with(callers, injector, site)
    await site.start()
    try:
        online = [asyncio.create_task(callers.send_online()) for _ in range(options.callers)]
        jobs = asyncio.create_task(callers.send_jobs())
        faults = asyncio.create_task(injector.run(options.fault_gap_s))
        crashes = asyncio.create_task(crashing.run())
        if options.production:
            await _upgrade(options, injector, code)
        else:
            await asyncio.sleep(options.duration_s)
        injector.stopping = True
        crashing.stopping = True
        await faults
        await crashes
        callers.stopping = True
        await asyncio.gather(*online)
        _, late = await asyncio.wait([jobs], timeout=SETTLE_S)
        callers.give_up = True
        if late:
            await jobs
        site.history.check_ends(asyncio.get_running_loop().time())
        for tenant in site.tenants.tenants:
            if tenant.rate_per_s:
                site.history.check_limit(tenant.name, WINDOW_S, tenant.most_in_window)
        await _check_alive(site, folder)
    finally:
        await site.stop()
    return _figures(options, site, callers, injector)


async def _upgrade(options: Soak, injector: FaultInjector, former: Path) -> None:
    """Replace the processes, with odd seeds back again, and a last time, in the soak's duration."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + options.duration_s
    await asyncio.sleep(options.duration_s * BEFORE_UPGRADE_SHARE)
    await injector.replace_code(ROOT)
    if options.seed % 2:
        await injector.replace_code(former)
        await injector.replace_code(ROOT)
    await asyncio.sleep(max(0.0, end_s - loop.time()))


def former_code(commit: str, folder: Path) -> Path:
    """Return a folder with the product's code as it was at a commit of this repository."""
    code = folder / f"code-{commit}"
    code.mkdir()
    archive = folder / f"code-{commit}.tar"
    git = ["git", "-C", str(ROOT), "archive", "-o", str(archive), commit, "mountstand"]
    subprocess.run(git, check=True)
    subprocess.run(["tar", "-xf", str(archive), "-C", str(code)], check=True)
    return code


def _check_routes_with(callers: Callers, injector: FaultInjector, site: Site) -> None:
    """Let the injector probe routes that it added, at every process in touch."""

    async def check(prefix: str, since_s: float) -> None:
        for process in site.processes:
            status = await callers.probe_route(process, prefix)
            known = prefix in site.extra_prefixes
            if status == 404 and known and process.in_touch(since_s) and not process.stopping:
                now_s = asyncio.get_running_loop().time()
                site.history.violate("CONFIG", process.name, f"404 on new {prefix}", now_s)

    injector.check_route = check  # type: ignore[method-assign]


async def _check_alive(site: Site, folder: Path) -> None:
    for log in sorted(folder.glob("*.log")):
        if TRACEBACK in log.read_text(errors="replace"):
            now_s = asyncio.get_running_loop().time()
            site.history.violate("FAULT", log.stem, "an exception was not handled", now_s)
    for process in site.processes:
        if not process.running:
            now_s = asyncio.get_running_loop().time()
            site.history.violate("FAULT", process.name, "ended by itself", now_s)


def _figures(
    options: Soak, site: Site, callers: Callers, injector: FaultInjector
) -> dict[str, Any]:
    history = site.history
    online = [req for req in history.online.values() if not req.request_id.startswith("probe")]
    served = sum(req.status == 200 for req in online)
    accepted = [job for job in history.jobs.values() if job.accepted_at_s is not None]
    return {
        "seed": options.seed,
        "requests": len(online),
        "served_share": round(served / max(1, len(online)), 4),
        "jobs_accepted": len(accepted),
        "batch_items": sum(len(job.results) for job in history.jobs.values()),
        "answers": dict(callers.status_counts),
        "workers_crashed": site.crashes,
        "crashing_contents": len(site.crashing.by_body),
        "faults_injected": dict(injector.counts),
        "violations": [asdict(violation) for violation in history.violations],
    }


def trace(folder: Path, violation: Violation) -> list[str]:
    """Return the processes' lines that name what a violation is about."""
    found = [
        f"{log.stem}: {line}"
        for log in sorted(folder.glob("*.log"))
        for line in log.read_text(errors="replace").splitlines()
        if violation.subject in line
    ]
    return found[-TRACE_LINES:]


def main() -> int:
    """Run; returns 1 if a promise was broken."""
    options = cappa.parse(Soak)
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(options.logs or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        figures = asyncio.run(run_soak(options, folder))
        if figures["violations"]:
            for line in trace(folder, Violation(**figures["violations"][0])):
                print(line)
    print(json.dumps(figures))
    return 1 if figures["violations"] else 0


if __name__ == "__main__":
    sys.exit(main())
