"""The owner of jobs: holds shards' leases, hands ranges to executors and commits their results.

Decisions are in :class:`ShardLeases` and :class:`JobLedger`; this module carries them out. One lock
guards both; no table or object operation runs under it.
"""

from __future__ import annotations

import logging
import threading
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from mountstand.background import BackgroundPart, PeriodicTask, stop_tasks
from mountstand.batch.commit_pipeline import CommitPipeline
from mountstand.batch.grants import build_grant, in_order
from mountstand.batch.holders import CancelLocally, RangeHolders
from mountstand.batch.job_ledger import JobLedger
from mountstand.batch.job_store import JobStore
from mountstand.batch.lost_ranges import complete_lost_range
from mountstand.batch.model import JobState, shard_of
from mountstand.batch.shard_leases import ClaimLease, ReleaseLease, ShardLeases
from mountstand.clock import elapsed_s
from mountstand.errors import MountstandError, WriteConflict
from mountstand.membership.service import MembershipService
from mountstand.process_settings import BatchSettings
from mountstand.store.ports import ObjectPort
from mountstand.telemetry.logs import log_state_change
from mountstand.telemetry.metrics import DaemonMetrics
from mountstand.wire.messages import (
    CancelJob,
    Confirmed,
    GrantedRanges,
    PullRanges,
    RangeGrant,
    RangeKey,
    RenewedRanges,
    RenewRanges,
    ReportRange,
    WorkHint,
)
from mountstand.wire.peers import PeerClient

logger = logging.getLogger(__name__)

VERIFY_WINDOW_S = 3.0
"""How long after the table last showed our lease ranges may be given out or renewed."""

RANGE_LEASE_S = 5.0
"""How long an executor that is not heard from keeps a range."""

LOST_GRACE_S = 6.0
"""How long a new owner waits for the executor of a not-repeatable range to come forward."""

HINT_INTERVAL_S = 0.3
HINTED_PEERS = 8
LOADER_THREADS = 4


class JobOwner(BackgroundPart):
    """Owns the jobs of this daemon's shards; thread-safe."""

    name = "job owner"

    def __init__(
        self,
        settings: BatchSettings,
        store: JobStore,
        objects: ObjectPort,
        membership: MembershipService,
        peers: PeerClient,
        metrics: DaemonMetrics,
        incarnation: int,
        cancel_locally: CancelLocally,
    ) -> None:
        self._settings = settings
        self._store = store
        self._objects = objects
        self._membership = membership
        self._metrics = metrics
        self._holders = RangeHolders(membership, peers, cancel_locally)
        self._lock = threading.RLock()
        self._poll_lock = threading.Lock()
        self._leases = ShardLeases(
            membership.self_id, incarnation, settings.shards, settings.lease_s
        )
        self._ledgers: dict[str, JobLedger] = {}
        self._loading: set[str] = set()
        self._stopping = False
        self._completing: set[tuple[str, int]] = set()
        self._commits = CommitPipeline(
            store,
            settings.shards,
            metrics,
            self._lock,
            self._ledgers,
            self._leases,
            lose_shard=self._lose_shard,
            job_changed=self._handle_changed_job,
            job_completed=lambda key: log_state_change(logger, "job completed", job=key),
        )
        self._loaders = ThreadPoolExecutor(LOADER_THREADS, thread_name_prefix="job-loader")
        self.on_work: Callable[[WorkHint], None] = lambda hint: None
        self._poll_task = PeriodicTask("job poll", settings.poll_s, self.poll)
        self._tasks = [
            self._poll_task,
            PeriodicTask("job commit", settings.commit_interval_s, self.commit),
            PeriodicTask("range leases", 0.5, self._expire_ranges),
            PeriodicTask("work hints", HINT_INTERVAL_S, self._send_hints),
        ]

    def start(self) -> None:
        """Start owning."""
        for task in self._tasks:
            task.start()

    def stop(self) -> None:
        """Commit what is reported, hand the shards over and stop."""
        self._stopping = True
        stop_tasks(self._tasks)
        try:
            self.commit()
        except MountstandError as error:
            log_state_change(logger, "last commit failed", code=error.code)
        self._release_all()
        self._loaders.shutdown(wait=False, cancel_futures=True)

    def look_now(self) -> None:
        """Poll at once: a job was accepted, or the members changed."""
        self._poll_task.trigger()

    # Shards and jobs

    def poll(self) -> None:
        """Read leases and running jobs of the shards that matter, and act on them."""
        with self._poll_lock:
            self._poll()

    def _poll(self) -> None:
        with self._lock:
            self._leases.update_members(self._membership.possible_owners())
            shards = self._leases.interesting_shards()
        if not shards:
            return
        started_s = elapsed_s()
        reading = self._store.read_shards(shards)
        live = {m.member_id: m.incarnation for m in self._membership.live_members()}
        with self._lock:
            held_before = set(self._leases.held)
            instructions = self._leases.handle_read(reading.leases, live, started_s)
            self._drop_shards(held_before - set(self._leases.held))
        claimed = False
        for instruction in instructions:
            if self._stopping:
                return
            if isinstance(instruction, ClaimLease):
                claimed = self._claim(instruction) or claimed
            else:
                self._release(instruction)
        for shard, keys in reading.open_jobs.items():
            self._take_jobs(shard, keys)
        if claimed:
            self.look_now()

    def _claim(self, claim: ClaimLease) -> bool:
        started_s = elapsed_s()
        try:
            version = self._store.write_lease(claim)
        except MountstandError as error:
            log_state_change(logger, "shard not claimed", shard=claim.shard, code=error.code)
            return False
        with self._lock:
            self._leases.claim_succeeded(claim, version, started_s)
        log_state_change(logger, "shard claimed", shard=claim.shard, epoch=claim.record.epoch)
        return True

    def _release(self, release: ReleaseLease) -> None:
        """Hand a shard over once nothing of it is waiting for a commit."""
        with self._lock:
            if any(ledger.has_uncommitted for _, ledger in self._shard_ledgers(release.shard)):
                return
            self._drop_shards({release.shard})
            self._leases.lost(release.shard)
        try:
            self._store.write_lease(release)
        except MountstandError as error:
            log_state_change(logger, "shard not released", shard=release.shard, code=error.code)
            return
        log_state_change(logger, "shard released", shard=release.shard)

    def _release_all(self) -> None:
        """Hand all shards over; leases that cannot be released run out by themselves."""
        with self._lock:
            releases = self._leases.release_all()
        # From then on the next owner may claim a lease that was not released.
        deadline_s = elapsed_s() + self._settings.lease_s
        try:
            lost = self._store.release_leases(releases, deadline_s)
        except MountstandError as error:
            shards = sorted(release.shard for release in releases)
            log_state_change(logger, "shards not released", code=error.code, shards=shards)
            return
        log_state_change(
            logger, "shards released", released=len(releases) - len(lost), lost=len(lost)
        )

    def _shard_ledgers(self, shard: int) -> list[tuple[str, JobLedger]]:
        shards = self._settings.shards
        return [(k, ledger) for k, ledger in self._ledgers.items() if shard_of(k, shards) == shard]

    def _drop_shards(self, shards: set[int]) -> None:
        for shard in shards:
            for key, ledger in self._shard_ledgers(shard):
                ledger.close()
                del self._ledgers[key]

    def _take_jobs(self, shard: int, keys: set[str]) -> None:
        with self._lock:
            held = self._leases.held.get(shard)
            if held is None:
                return
            known = {key for key, _ in self._shard_ledgers(shard)}
            missing = keys - known - self._loading
            ended = known - keys
            self._loading |= missing
        for key in missing:
            self._loaders.submit(self._load_job, key, shard, held.epoch)
        for key in ended:
            self._check_ended(key)

    def _load_job(self, key: str, shard: int, epoch: int) -> None:
        try:
            lost_after_s = elapsed_s() + LOST_GRACE_S
            ledger = self._store.recover_ledger(key, epoch, lost_after_s)
        except MountstandError as error:
            log_state_change(logger, "job cannot be loaded yet", job=key, code=error.code)
            ledger = None
        except Exception:
            logger.exception("job cannot be loaded", extra={"job": key})
            ledger = None
        with self._lock:
            self._loading.discard(key)
            held = self._leases.held.get(shard)
            if ledger is None or held is None or held.epoch != epoch:
                return
            self._ledgers[key] = ledger
        log_state_change(logger, "job taken", job=key, pending_items=ledger.pending_items)
        self._send_hints()

    def _check_ended(self, key: str) -> None:
        """Close the ledger of a job that is not running any more: completed or cancelled."""
        found = self._store.read_job(key)
        if found is None or found[0].state is not JobState.RUNNING:
            self._close_job(key)

    def _close_job(self, key: str) -> None:
        with self._lock:
            ledger = self._ledgers.pop(key, None)
            holders = ledger.holders() if ledger else set()
            if ledger is not None:
                ledger.close()
        if ledger is not None and ledger.record.state is JobState.RUNNING:
            self._holders.drop(key, holders)

    # Requests of executors

    def handle_pull(self, pull: PullRanges) -> GrantedRanges:
        """Give ranges to an executor that has room."""
        now_s = elapsed_s()
        left = pull.capacity_items
        grants: list[RangeGrant] = []
        for key, ledger in self._grantable(pull.services, now_s):
            if left <= 0:
                break
            taken = self._grant(key, ledger, pull.executor_id, left)
            left -= sum(grant.item_count for grant in taken)
            grants += taken
        return GrantedRanges(tuple(grants), self.pending_items())

    def handle_renew(self, renew: RenewRanges) -> RenewedRanges:
        """Lengthen the leases of ranges that an executor holds."""
        now_s = elapsed_s()
        kept: list[RangeKey] = []
        dropped: list[RangeKey] = []
        with self._lock:
            for key in renew.keys:
                shard = shard_of(key.job_key, self._settings.shards)
                ledger = self._ledgers.get(key.job_key)
                if ledger is None:
                    continue
                ends_s = now_s + RANGE_LEASE_S
                if not ledger.renew(renew.executor_id, key.range_index, ends_s):
                    dropped.append(key)
                elif self._leases.is_verified(shard, now_s, VERIFY_WINDOW_S):
                    kept.append(key)
        return RenewedRanges(tuple(kept), tuple(dropped))

    def handle_report(self, report: ReportRange) -> Confirmed:
        """Take the results of a range; not confirmed when this daemon does not own the job."""
        with self._lock:
            ledger = self._ledgers.get(report.key.job_key)
            if ledger is None:
                return Confirmed(False)
            ledger.report(
                report.key.range_index, report.segment_name, report.completed, report.failed
            )
            return Confirmed(True)

    def handle_cancel(self, cancel: CancelJob) -> Confirmed:
        """Stop a job that was cancelled in the table; confirmed when every executor has."""
        with self._lock:
            ledger = self._ledgers.pop(cancel.job_key, None)
            if ledger is None:
                return Confirmed(False)
            holders = ledger.holders()
            ledger.close()
        return Confirmed(self._holders.drop(cancel.job_key, holders))

    def pending_items(self) -> int:
        """Return the items of verified shards that nobody runs yet."""
        with self._lock:
            return sum(ledger.pending_items for ledger in self._ledgers.values())

    def shard_epoch(self, shard: int) -> int | None:
        """Return the epoch under which this daemon verifiably holds a shard."""
        with self._lock:
            if not self._leases.is_verified(shard, elapsed_s(), VERIFY_WINDOW_S):
                return None
            return self._leases.held[shard].epoch

    def status(self) -> dict[str, object]:
        """Return what this daemon owns, for operators."""
        with self._lock:
            return {
                "shards": sorted(self._leases.held),
                "jobs": [
                    {
                        "job": key,
                        "done": ledger.record.done,
                        "items": ledger.record.item_count,
                        "pending": ledger.pending_items,
                    }
                    for key, ledger in self._ledgers.items()
                ],
            }

    def _grantable(self, services: tuple[str, ...], now_s: float) -> list[tuple[str, JobLedger]]:
        """Return jobs with work, in order: priority, due time, then the tenant served least."""
        with self._lock:
            served: Counter[str] = Counter()
            for ledger in self._ledgers.values():
                served[ledger.record.tenant] += ledger.items_granted
            found = [
                (key, ledger)
                for key, ledger in self._ledgers.items()
                if ledger.pending_items
                and ledger.record.service in services
                and self._leases.is_verified(
                    shard_of(key, self._settings.shards), now_s, VERIFY_WINDOW_S
                )
            ]
        return in_order(found, served)

    def _grant(
        self, key: str, ledger: JobLedger, executor_id: str, capacity_items: int
    ) -> list[RangeGrant]:
        ends_s = elapsed_s() + RANGE_LEASE_S
        with self._lock:
            indexes = ledger.grant(executor_id, capacity_items, ends_s)
        if not ledger.record.repeatable:
            indexes = self._mark(key, ledger, indexes, executor_id)
        return [build_grant(key, ledger, index) for index in indexes]

    def _mark(self, key: str, ledger: JobLedger, indexes: list[int], executor_id: str) -> list[int]:
        """Make durable that ranges of a not-repeatable job are given out."""
        shard = shard_of(key, self._settings.shards)
        with self._lock:
            held = self._leases.held.get(shard)
        marked: bool | None = False
        try:
            if held is not None and indexes:
                marked = self._store.mark_attempts(key, shard, held.version, indexes, executor_id)
        except WriteConflict:
            self._lose_shard(shard)
        with self._lock:
            ledger.finish_marking(indexes, marked=marked)
        return indexes if marked else []

    # Commits

    def commit(self) -> None:
        """Make reported ranges durable, many jobs in one transaction."""
        self._commits.run()

    def _handle_changed_job(self, key: str) -> None:
        """Give up a job whose row somebody else changed; read it anew if it still runs."""
        self._close_job(key)
        self.look_now()

    def _lose_shard(self, shard: int) -> None:
        with self._lock:
            self._leases.lost(shard)
            self._drop_shards({shard})
        log_state_change(logger, "shard lost", shard=shard)

    # Ranges without an executor

    def _expire_ranges(self) -> None:
        now_s = elapsed_s()
        lost: list[tuple[str, int]] = []
        with self._lock:
            for key, ledger in self._ledgers.items():
                lost += [(key, index) for index in ledger.expire_leases(now_s)]
            lost = [pair for pair in lost if pair not in self._completing]
            self._completing.update(lost)
        for key, index in lost:
            self._loaders.submit(self._complete_lost, key, index)

    def _complete_lost(self, key: str, index: int) -> None:
        """Complete a given-out range of a not-repeatable job whose executor is gone."""
        try:
            with self._lock:
                ledger = self._ledgers.get(key)
            if ledger is None:
                return
            results = complete_lost_range(
                self._objects, ledger.record.upload_id, index, ledger.ranges[index].info
            )
            with self._lock:
                ledger.report(index, results.segment_name, results.completed, results.failed)
        except MountstandError as error:
            log_state_change(logger, "lost range cannot be completed yet", code=error.code)
        finally:
            with self._lock:
                self._completing.discard((key, index))

    # Hints

    def _send_hints(self) -> None:
        pending = self.pending_items()
        if not pending:
            return
        with self._lock:
            priority = min(ledger.record.priority for ledger in self._ledgers.values())
        hint = WorkHint(min(pending, 2**32 - 1), priority)
        for peer in self._membership.random_peers(HINTED_PEERS):
            self._membership.send_hint(peer, hint)
        self.on_work(hint)
