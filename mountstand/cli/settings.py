"""``mountstand settings``: read and change the settings tree."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa
import urllib3

from mountstand.cli.client import DEFAULT_CONTROL_URL, DaemonClient, print_json
from mountstand.errors import InvalidSettings, MountstandError
from mountstand.process_settings import read_toml

Url = Annotated[str, cappa.Arg(long=True, help="Control interface of a daemon")]
Token = Annotated[str, cappa.Arg(long=True, help="Operator's token")]
Path_ = Annotated[str, cappa.Arg(help="Branch, such as services/caption; '.' is the root")]
Operator = Annotated[str, cappa.Arg(long=True, help="Who makes the change")]


def branch(path: str) -> str:
    """Return the branch that a path on the command line means."""
    return "" if path == "." else path


def parse_value(text: str) -> Any:
    """Return a value given on the command line; text that is not JSON is a string."""
    try:
        return json.loads(text)
    except json.JSONDecodeError:
        return text


def read_changes(file: Path) -> list[dict[str, Any]]:
    """Return the changes in a TOML file: ``["services/caption"]`` tables, ``remove = [...]``."""
    values = read_toml(file)
    removed = values.pop("remove", [])
    changes: list[dict[str, Any]] = []
    for path, overrides in values.items():
        if not isinstance(overrides, dict):
            raise InvalidSettings(f"{file}: {path}: must be a table; quote a path with slashes")
        changes.append({"path": branch(path), "values": overrides})
    changes += [{"path": branch(path), "values": None} for path in removed]
    return changes


def apply_changes(
    client: DaemonClient, changes: list[dict[str, Any]], operator: str, *, dry_run: bool = False
) -> Any:
    """Send changes as one transaction; return the daemon's answer."""
    body = json.dumps({"changes": changes, "dry_run": dry_run})
    headers = {"X-Operator": operator}
    return client.json("POST", "/settings/apply", body, headers=headers)


@cappa.command(name="get", help="Show the overrides of one branch, or the whole tree.")
@dataclass
class Get:
    """Show overrides."""

    path: Annotated[str | None, cappa.Arg(help="Branch; the whole tree if not given")] = None
    url: Url = DEFAULT_CONTROL_URL
    token: Token = ""

    def __call__(self) -> None:
        """Print them as JSON."""
        tree = DaemonClient(self.url, self.token).json("GET", "/settings/tree")
        if self.path is None:
            print_json(tree)
        else:
            print_json(tree["branches"].get(branch(self.path), {"values": {}, "revision": 0}))


@cappa.command(
    name="set",
    help="Override one value of a branch; fails when the branch was changed meanwhile.",
    description="Example: mountstand settings set zones/zone-a traffic_percent 1",
)
@dataclass
class Set:
    """Override one value."""

    path: Path_
    key: Annotated[str, cappa.Arg(help="Setting; docs/operators/settings.md lists them")]
    value: Annotated[str, cappa.Arg(help="JSON or text; 'null' inherits again")]
    url: Url = DEFAULT_CONTROL_URL
    token: Token = ""
    operator: Operator = "cli"

    def __call__(self) -> None:
        """Read the branch, change it and write it under the revision that was read."""
        client = DaemonClient(self.url, self.token)
        path = branch(self.path)
        tree = client.json("GET", "/settings/tree")
        found = tree["branches"].get(path, {"values": {}, "revision": 0})
        values = {**found["values"], self.key: parse_value(self.value)}
        kept = {key: value for key, value in values.items() if value is not None}
        change = {"path": path, "values": kept, "expected_revision": found["revision"]}
        print_json(apply_changes(client, [change], self.operator))


@cappa.command(
    name="apply",
    help="Apply a TOML file of branches as one transaction.",
    description="Example: mountstand settings apply reunion.toml --dry-run",
)
@dataclass
class Apply:
    """Apply a file."""

    file: Annotated[Path, cappa.Arg(help='TOML with tables like ["services/caption"]')]
    url: Url = DEFAULT_CONTROL_URL
    token: Token = ""
    operator: Operator = "cli"
    dry_run: Annotated[bool, cappa.Arg(long="--dry-run", help="Check only")] = False

    def __call__(self) -> None:
        """Send the file's changes."""
        client = DaemonClient(self.url, self.token)
        answer = apply_changes(client, read_changes(self.file), self.operator, dry_run=self.dry_run)
        print_json(answer)


@cappa.command(name="diff", help="Show what a file would change.")
@dataclass
class Diff:
    """Compare a file with the tree."""

    file: Annotated[Path, cappa.Arg(help="TOML as for apply")]
    url: Url = DEFAULT_CONTROL_URL
    token: Token = ""

    def __call__(self) -> None:
        """Print one line for each value that would change."""
        tree = DaemonClient(self.url, self.token).json("GET", "/settings/tree")
        for change in read_changes(self.file):
            before = tree["branches"].get(change["path"], {"values": {}})["values"]
            after = change["values"] or {}
            for key in sorted({*before, *after}):
                if before.get(key) != after.get(key):
                    name = change["path"] or "(root)"
                    print(f"{name} {key}: {before.get(key)} -> {after.get(key)}")


@cappa.command(name="explain", help="Show every value in force for a branch and who set it.")
@dataclass
class Explain:
    """Explain a branch."""

    path: Path_
    url: Url = DEFAULT_CONTROL_URL
    token: Token = ""
    json: Annotated[bool, cappa.Arg(long="--json", help="One JSON line")] = False

    def __call__(self) -> None:
        """Print value and source of each setting."""
        client = DaemonClient(self.url, self.token)
        answer = client.json("GET", f"/settings/explain?path={branch(self.path)}")
        if self.json:
            print_json(answer)
            return
        for key, effective in answer["values"].items():
            print(f"{key:24} {effective['value']!s:12} from {effective['source']}")


@cappa.command(name="history", help="Show the last accepted changes.")
@dataclass
class History:
    """Show the history."""

    count: Annotated[int, cappa.Arg(long=True, help="Revisions")] = 20
    url: Url = DEFAULT_CONTROL_URL
    token: Token = ""

    def __call__(self) -> None:
        """Print one JSON line for each revision."""
        client = DaemonClient(self.url, self.token)
        for revision in client.json("GET", f"/settings/history?count={self.count}"):
            print_json(revision)


@cappa.command(name="rollout", help="Show which daemon runs which revision.")
@dataclass
class Rollout:
    """Show the rollout."""

    url: Url = DEFAULT_CONTROL_URL
    token: Token = ""
    json: Annotated[bool, cappa.Arg(long="--json", help="One JSON line")] = False

    def __call__(self) -> None:
        """Ask every live daemon that this one knows."""
        revisions: dict[str, int | None] = {}
        for member in DaemonClient(self.url, self.token).json("GET", "/status/members"):
            if member["state"] in ("dead", "left"):
                continue
            client = DaemonClient(f"http://{member['address']}", self.token)
            try:
                revisions[member["member"]] = client.json("GET", "/status/settings")["revision"]
            except (MountstandError, urllib3.exceptions.HTTPError):
                revisions[member["member"]] = None
        if self.json:
            print_json(revisions)
            return
        for name, revision in revisions.items():
            print(f"{name:32} {'does not answer' if revision is None else revision}")


@cappa.command(
    name="rollback",
    help="Make the branches that a revision changed as they were before it, as a new revision.",
)
@dataclass
class Rollback:
    """Undo one revision by a new one."""

    revision: Annotated[int, cappa.Arg(help="Revision to undo")]
    url: Url = DEFAULT_CONTROL_URL
    token: Token = ""
    operator: Operator = "cli"

    def __call__(self) -> None:
        """Find each changed branch's earlier overrides and apply them."""
        client = DaemonClient(self.url, self.token)
        revisions = client.json("GET", "/settings/history?count=100000")
        undone = next((r for r in revisions if r["number"] == self.revision), None)
        if undone is None:
            raise InvalidSettings(f"revision {self.revision} does not exist")
        changes = []
        for change in undone["changes"]:
            before = values_before(revisions, self.revision, change["path"])
            changes.append({"path": change["path"], "values": before})
        print_json(apply_changes(client, changes, self.operator))


def values_before(revisions: list[dict[str, Any]], number: int, path: str) -> dict[str, Any] | None:
    """Return the overrides of a branch just before revision ``number``."""
    values: dict[str, Any] | None = None
    for revision in revisions:
        if revision["number"] >= number:
            break
        for change in revision["changes"]:
            if change["path"] == path:
                values = change.get("values")
    return values


@cappa.command(name="settings", help="Read, change and roll out the settings tree.")
@dataclass
class Settings:
    """The settings tree."""

    command: cappa.Subcommands[Get | Set | Apply | Diff | Explain | History | Rollout | Rollback]
