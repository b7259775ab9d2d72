"""The settings tree as an immutable value, and the changes that lead from one to the next."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ConfigDict, Field

from mountstand.settings.schema import DEFAULTS, BranchValues, lineage


class Branch(BaseModel):
    """Overrides of one branch and the revision that set them."""

    model_config = ConfigDict(frozen=True)

    values: BranchValues
    revision: int


class BranchChange(BaseModel):
    """A branch's new overrides; ``None`` removes the branch."""

    model_config = ConfigDict(frozen=True)

    path: str
    values: BranchValues | None


class Revision(BaseModel):
    """All changes of one accepted transaction."""

    model_config = ConfigDict(frozen=True)

    number: int
    changes: list[BranchChange]
    operator: str = ""
    time_s: float = 0.0


class SettingsTree(BaseModel):
    """All branches at one revision."""

    model_config = ConfigDict(frozen=True)

    revision: int = 0
    branches: dict[str, Branch] = Field(default_factory=dict)

    def apply(self, revision: Revision) -> SettingsTree:
        """Return the tree after the next revision."""
        if revision.number != self.revision + 1:
            raise ValueError(f"revision {revision.number} cannot follow {self.revision}")
        branches = dict(self.branches)
        for change in revision.changes:
            if change.values is None:
                branches.pop(change.path, None)
            else:
                branches[change.path] = Branch(values=change.values, revision=revision.number)
        return SettingsTree(revision=revision.number, branches=branches)

    def branch_revision(self, path: str) -> int:
        """Return the revision that set a branch; 0 when there is none."""
        branch = self.branches.get(path)
        return branch.revision if branch else 0

    def explain(self, path: str) -> dict[str, EffectiveValue]:
        """Return every effective value of a branch with the branch that set it."""
        return {key: self._effective(path, key) for key in BranchValues.model_fields}

    def value(self, path: str, key: str) -> Any:
        """Return one effective value."""
        return self._effective(path, key).value

    def paths_below(self, prefix: str) -> list[str]:
        """Return the paths of branches directly below ``prefix``."""
        start = f"{prefix}/"
        return [
            path
            for path in self.branches
            if path.startswith(start) and "/" not in path[len(start) :]
        ]

    def _effective(self, path: str, key: str) -> EffectiveValue:
        for ancestor in lineage(path):
            branch = self.branches.get(ancestor)
            if branch is not None and getattr(branch.values, key) is not None:
                return EffectiveValue(getattr(branch.values, key), ancestor or "(root)")
        return EffectiveValue(getattr(DEFAULTS, key), "(default)")


@dataclass(frozen=True)
class EffectiveValue:
    """A value in force and the branch that set it."""

    value: Any
    source: str


class SettingsReplica:
    """A daemon's copy of the tree; its revision only ever rises. Pure state."""

    MAX_RECENT = 1000

    def __init__(self) -> None:
        self.tree = SettingsTree()
        self.recent: list[Revision] = []

    @property
    def revision(self) -> int:
        """Revision in force."""
        return self.tree.revision

    def take_revisions(self, revisions: Iterable[Revision]) -> bool:
        """Apply revisions that follow; return whether any did."""
        before = self.revision
        for revision in sorted(revisions, key=lambda r: r.number):
            if revision.number == self.revision + 1:
                self.tree = self.tree.apply(revision)
                self.recent = [*self.recent[-self.MAX_RECENT + 1 :], revision]
        return self.revision > before

    def take_tree(self, tree: SettingsTree) -> bool:
        """Replace the tree by a newer one; return whether it was newer."""
        if tree.revision <= self.revision:
            return False
        self.tree = tree
        self.recent = []
        return True

    def revisions_after(self, number: int) -> list[Revision] | None:
        """Return the revisions after ``number``; ``None`` when they are not all kept."""
        if number >= self.revision:
            return []
        later = [revision for revision in self.recent if revision.number > number]
        return later if len(later) == self.revision - number else None


SettingsTree.model_rebuild()
