"""The operators' interface to the settings tree.

``GET /settings/tree``, ``GET /settings/explain?path=``, ``GET /settings/history?count=``,
``POST /settings/apply`` with ``{"changes": [{"path", "values", "expected_revision"}], "dry_run"}``.
"""

from __future__ import annotations

from typing import Any

from pydantic import BaseModel, ConfigDict, ValidationError

from mountstand.errors import InvalidSettings, NotFound
from mountstand.http.control import send_json
from mountstand.http.requests import check_token, identifier_header, read_body
from mountstand.settings.schema import check_path, check_values
from mountstand.settings.service import SettingsService
from mountstand.settings.store import RequestedChange

MAX_CHANGES_BYTES = 4 * 1024 * 1024
DEFAULT_HISTORY = 20


class ChangeDocument(BaseModel):
    """One change as an operator sends it; ``values`` of ``null`` removes the branch."""

    model_config = ConfigDict(extra="forbid")

    path: str
    values: dict[str, Any] | None
    expected_revision: int | None = None


class ApplyDocument(BaseModel):
    """Changes that are accepted together or not at all."""

    model_config = ConfigDict(extra="forbid")

    changes: list[ChangeDocument]
    dry_run: bool = False


class SettingsResource:
    """``/settings``."""

    exposed = True

    def __init__(self, service: SettingsService, tokens: frozenset[str]) -> None:
        self._service = service
        self._tokens = tokens

    def GET(self, part: str = "tree", path: str = "", count: str = "") -> bytes:  # noqa: N802
        """Read the tree, one branch's effective values, or the history."""
        check_token(self._tokens)
        if part == "tree":
            return send_json(self._service.tree.model_dump(mode="json", exclude_none=True))
        if part == "explain":
            return send_json(self._explain(check_path(path)))
        if part == "history":
            wanted = int(count) if count.isdigit() else DEFAULT_HISTORY
            revisions = self._service.history(wanted)
            return send_json([r.model_dump(mode="json", exclude_none=True) for r in revisions])
        raise NotFound(f"/settings/{part}")

    def POST(self, part: str = "") -> bytes:  # noqa: N802
        """Apply changes as one transaction."""
        check_token(self._tokens)
        if part != "apply":
            raise NotFound(f"/settings/{part}")
        try:
            document = ApplyDocument.model_validate_json(read_body(MAX_CHANGES_BYTES))
        except ValidationError as problem:
            fault = problem.errors()[0]
            where = ".".join(str(part) for part in fault["loc"])
            raise InvalidSettings(f"{where}: {fault['msg']}") from None
        requested = [check_change(change) for change in document.changes]
        if document.dry_run:
            return send_json({"accepted": False, "dry_run": True, "changes": len(requested)})
        revision = self._service.apply(requested, identifier_header("X-Operator", "unknown"))
        return send_json({"accepted": True, "revision": revision.number})

    def _explain(self, path: str) -> dict[str, Any]:
        tree = self._service.tree
        return {
            "path": path,
            "revision": tree.revision,
            "branch_revision": tree.branch_revision(path),
            "values": {
                key: {"value": effective.value, "source": effective.source}
                for key, effective in tree.explain(path).items()
            },
        }


def check_change(change: ChangeDocument) -> RequestedChange:
    """Return a checked change; raise ``InvalidSettings`` naming path, key and value."""
    path = check_path(change.path)
    values = None if change.values is None else check_values(path, change.values)
    return RequestedChange(path, values, change.expected_revision)
