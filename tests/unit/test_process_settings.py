"""Faulty settings are refused with the key's path and exit code 2."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path

from testtools import TestCase

from mountstand.errors import InvalidSettings
from mountstand.process_settings import load_daemon_settings

GOOD = """
daemon_id = "d1"
zone = "z"
address = "127.0.0.1"
port = 8001
control_port = 8101
[platform]
table_url = "http://127.0.0.1:9001"
objects_url = "http://127.0.0.1:9002"
machines_url = "http://127.0.0.1:9003"
"""


class ProcessSettings(TestCase):
    def write(self, text: str) -> Path:
        file = Path(tempfile.mkdtemp()) / "daemon.toml"
        file.write_text(text)
        return file

    def test_good(self) -> None:
        settings = load_daemon_settings(self.write(GOOD), {"zone": "other", "port": None})
        self.assertEqual(("other", 8001), (settings.zone, settings.port))

    def test_faults_name_the_path(self) -> None:
        cases = [
            (GOOD.replace("8001", "80010"), "port"),
            (GOOD.replace("127.0.0.1:9001", "table.example:9001"), "platform.table_url"),
            (GOOD + "speed = 1\n", "platform.speed"),
            (GOOD.replace('zone = "z"', ""), "zone"),
            (GOOD.replace('"127.0.0.1"', '"localhost"'), "address"),
            (GOOD + "[batch]\nshards = 0\n", "batch.shards"),
            ("port = \nzone = 1\n", "line 1"),
        ]
        for text, path in cases:
            error = self.assertRaises(InvalidSettings, load_daemon_settings, self.write(text), {})
            self.assertIn(path, error.detail)

    def test_the_command_ends_with_code_2(self) -> None:
        file = self.write(GOOD.replace("8001", "0"))
        ended = subprocess.run(
            [sys.executable, "-m", "mountstand", "serve", "--settings", str(file)],
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(2, ended.returncode)
        self.assertIn("port", ended.stderr)
        self.assertIn("Remedy", ended.stderr)
