"""A site whose serving processes can be cut off from the store and from each other."""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
from pathlib import Path

from tests.integration.test_platform_node import ROOT, Process
from tests.integration.test_stream_versions import VersionedSite
from tests.soak.proxy import FaultProxy, LinkFaults
from tests.stand_ins.cuttable_daemon import CUT_VARIABLE

CUT = LinkFaults(silent_to_target=True, silent_to_client=True)


class CuttableProcess(Process):
    """A serving process that can be cut off from the store and from its peers."""

    store: FaultProxy
    cut_file: Path

    async def start(self) -> Process:
        """Start the process."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.stand_ins.cuttable_daemon",
            cwd=ROOT,
            env={
                **os.environ,
                "MOUNTSTAND_SETTINGS": str(self.settings),
                CUT_VARIABLE: str(self.cut_file),
            },
            stdout=asyncio.subprocess.PIPE,
        )
        self._reading = asyncio.create_task(self._read_output())
        return self

    def cut(self, datagrams: str = "all") -> None:
        """Cut the process off from the store and from its peers."""
        self.store.faults = CUT
        self.cut_file.write_text(datagrams)

    def heal(self) -> None:
        """Connect the process again."""
        self.store.faults = LinkFaults()
        self.cut_file.unlink(missing_ok=True)


class CuttableSite(VersionedSite):
    """A site each of whose processes can be cut off."""

    async def __aenter__(self) -> CuttableSite:
        self.proxies: list[FaultProxy] = []
        self.rng = random.Random(1)
        for _ in range(self.count):
            self.proxies.append(await FaultProxy(0, self.rng).start())
        await super().__aenter__()
        return self

    async def __aexit__(self, *error: object) -> None:
        for proxy in self.proxies:
            proxy.stop()
        await super().__aexit__(*error)

    def _process(self, name: str) -> Process:
        usual = super()._process(name)
        proxy = self.proxies[len(self.processes)]
        proxy.target_port = self.store.port
        fields = json.loads(usual.settings.read_text())
        fields["platform"]["address"] = f"127.0.0.1:{proxy.port}"
        usual.settings.write_text(json.dumps(fields))
        process = CuttableProcess(usual.name, usual.ports, usual.settings)
        process.store = proxy
        process.cut_file = usual.settings.with_suffix(".cut")
        return process
