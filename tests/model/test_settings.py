"""The settings tree under racing operators, lost answers and replicas that fall behind."""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from mountstand.errors import SettingsConflict
from mountstand.settings.schema import BranchValues
from mountstand.settings.store import RequestedChange, SettingsStore
from mountstand.settings.tree import SettingsReplica
from mountstand.store.ports import Outcome, Transaction
from tests.model.test_job_ownership import LossyTable

PATHS = ("", "services/caption", "services/caption/tenants/guild", "tenants/guild")
NUMBERS = st.integers(1, 5)


class RacingTable(LossyTable):
    """A table on which another operator can come first, once, between a read and a write."""

    def __init__(self) -> None:
        super().__init__()
        self.rival: RequestedChange | None = None

    def commit(self, transaction: Transaction) -> Outcome:
        if transaction.puts and self.rival is not None:
            rival, self.rival = self.rival, None
            SettingsStore(self).apply([rival], "rival")
        return super().commit(transaction)


class SettingsMachine(RuleBasedStateMachine):
    """Operators write; three replicas take revisions or trees late, twice and out of order."""

    @initialize()
    def start(self) -> None:
        self.table = RacingTable()
        self.store = SettingsStore(self.table)
        self.replicas = [SettingsReplica() for _ in range(3)]
        self.shown = [0, 0, 0]
        self.accepted: dict[int, dict[str, int]] = {}

    @rule(
        paths=st.lists(st.sampled_from(PATHS), min_size=1, max_size=2, unique=True),
        value=NUMBERS,
        stale=st.booleans(),
        lose=st.booleans(),
        rival=st.booleans(),
    )
    def operator_changes(
        self, paths: list[str], value: int, stale: bool, lose: bool, rival: bool
    ) -> None:
        tree = self.store.read_tree()
        requested = []
        for path in paths:
            expected = tree.branch_revision(path) - (1 if stale else 0)
            requested.append(RequestedChange(path, BranchValues(replicas=value), expected))
        if rival:
            self.table.rival = RequestedChange(paths[0], BranchValues(replicas=value + 10))
        self.table.lose_next_answer = lose and not rival
        try:
            revision = self.store.apply(requested, "operator")
        except SettingsConflict:
            assert stale or rival
            return
        finally:
            self.table.lose_next_answer = False
            self.table.rival = None
        assert not stale and not rival, "a change on top of an unseen one was accepted"
        self.accepted[revision.number] = dict.fromkeys(paths, value)

    @rule(replica=st.integers(0, 2), first=st.integers(1, 6), count=st.integers(0, 5))
    def replica_takes_revisions(self, replica: int, first: int, count: int) -> None:
        self.replicas[replica].take_revisions(self.store.read_revisions(first, first + count))

    @rule(replica=st.integers(0, 2))
    def replica_takes_the_tree(self, replica: int) -> None:
        self.replicas[replica].take_tree(self.store.read_tree())

    @rule(source=st.integers(0, 2), receiver=st.integers(0, 2))
    def replica_asks_a_peer(self, source: int, receiver: int) -> None:
        revisions = self.replicas[source].revisions_after(self.replicas[receiver].revision)
        if revisions is None:
            self.replicas[receiver].take_tree(self.replicas[source].tree)
        else:
            self.replicas[receiver].take_revisions(revisions)

    @invariant()
    def no_replica_goes_back(self) -> None:
        for number, replica in enumerate(self.replicas):
            assert replica.revision >= self.shown[number]
            self.shown[number] = replica.revision

    @invariant()
    def each_replica_is_the_truth_at_its_revision(self) -> None:
        for replica in self.replicas:
            for path, value in self.accepted.get(replica.revision, {}).items():
                assert replica.tree.branches[path].values.replicas == value

    @invariant()
    def accepted_changes_last(self) -> None:
        tree = self.store.read_tree()
        for number, values in self.accepted.items():
            for path, value in values.items():
                if tree.branch_revision(path) == number:
                    assert tree.branches[path].values.replicas == value
                else:
                    assert tree.branch_revision(path) > number

    @invariant()
    def values_are_inherited_from_the_nearest_branch(self) -> None:
        tree = self.store.read_tree()
        effective = tree.explain("services/caption/tenants/guild")["replicas"]
        for path in ("services/caption/tenants/guild", "services/caption", ""):
            if path in tree.branches:
                assert effective.value == tree.branches[path].values.replicas
                assert effective.source == (path or "(root)")
                return
        assert effective.source == "(default)"


SettingsMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None, derandomize=True, database=None
)
TestSettings = SettingsMachine.TestCase
