"""Re-replicates the outcomes of ended messages after a storage node is lost or retired. No I/O.

An outcome is recorded on a write quorum of the roster in force at that time. After one of these disks leaves
the roster, the remaining ones may be too few. A read quorum of the new roster could then miss the outcome, so
that a client would be told that there is no such message; and the next loss could remove the last copy, so
that an open replica elsewhere would be executed again. Therefore the owner of a shard reads the outcomes from
each disk and records those that are on too few disks on further ones. A disk is dropped only after all owners
have done so.

Invariant: a pass is complete only once enough disks were read completely that the unread ones on the roster,
including lost ones, can't be the only holders of an outcome, and each outcome found is on a write quorum.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial

from absl import logging
from result import Err, Result

from amberlug.cluster.dispatch.replicator import Replicator
from amberlug.cluster.interfaces import RequestFailure, Runtime
from amberlug.cluster.rpc.messages import request
from amberlug.cluster.storage.messages import Acknowledgement, EndedMessagesReply, EndedMessagesRequest

READ_TIMEOUT_S = 1.0  # for one page
READ_RETRY_S = 0.25  # before the next request to a storage node that did not respond
START_DELAY_S = 0.2  # lets the recovery and repair of open messages, which start at the same time, go first
UNRESPONSIVE_WAIT_S = 1.0  # to wait for unresponsive storage nodes although enough others were read

_Cursor = tuple[int, str]
_START: _Cursor = (-1, "")


class OutcomeRepairs:
    """The repair passes of one edge node: over all shards after a disk is lost, and over gained shards."""

    def __init__(self, runtime: Runtime, replicator: Replicator) -> None:
        self._runtime, self._replicator = runtime, replicator
        self._passes: list[OutcomeRepair] = []

    @property
    def unfinished(self) -> int:
        """The number of incomplete passes; no disk may be dropped while there are any."""
        return len(self._passes)

    def repair(self, shards: Iterable[int]) -> None:
        """Start a pass over the outcomes of these shards."""
        shards = tuple(shards)
        if not shards:
            return
        new_pass = OutcomeRepair(self._runtime, self._replicator, shards, self._remove_finished)
        self._passes.append(new_pass)
        self._runtime.call_later(START_DELAY_S, new_pass.begin)

    def restart(self, shards: Iterable[int]) -> None:
        """Replace all passes by one over all owned shards, after the roster has lost disks that count."""
        for earlier in self._passes:
            earlier.cancel()
        self._passes.clear()
        self.repair(shards)

    def roster_changed(self) -> None:
        """Continue all passes with a roster that has lost no disk that counts."""
        for repair_pass in list(self._passes):
            repair_pass.roster_changed()

    def _remove_finished(self) -> None:
        self._passes = [repair_pass for repair_pass in self._passes if not repair_pass.is_finished]


class OutcomeRepair:
    """One pass over the outcomes of some shards.

    :param shards: shard numbers.
    :param on_complete: called once unless the pass is cancelled.
    """

    def __init__(
        self,
        runtime: Runtime,
        replicator: Replicator,
        shards: Iterable[int],
        on_complete: Callable[[], None],
    ) -> None:
        self._runtime, self._replicator = runtime, replicator
        self._shards = tuple(sorted(shards))
        self._on_complete = on_complete
        self._read_disks: set[str] = set()
        self._in_flight: set[str] = set()
        self._outcomes: dict[str, Acknowledgement] = {}  # by message: the one retained longest
        self._holders: dict[str, set[str]] = {}  # by message: the disks that have its outcome
        self._restoring = 0  # number of outcomes being recorded on further disks
        self._awaits_unresponsive = True  # it still waits for unresponsive storage nodes
        self._is_started = False
        self._is_restoring = False  # reading is complete
        self.is_finished = False

    def begin(self) -> None:
        """Start reading the disks of the roster."""
        self._is_started = True
        self._runtime.call_later(UNRESPONSIVE_WAIT_S, self._stop_waiting)
        self._read_on()

    def cancel(self) -> None:
        """End without calling `on_complete`; another pass replaces this one."""
        self.is_finished = True

    def roster_changed(self) -> None:
        """Skip disks that have left the roster, and read those that have joined."""
        if self._is_started:
            self._read_on()

    def _stop_waiting(self) -> None:
        self._awaits_unresponsive = False
        self._read_on()

    # -- reading

    def _read_on(self) -> None:
        """Read the unread disks; once done, restore the outcomes that are on too few disks."""
        if self.is_finished or self._is_restoring:
            return
        unread = set(self._replicator.readable_disks) - self._read_disks
        for disk in sorted(unread - self._in_flight):
            self._request_page(disk, _START)
        if (not unread or not self._awaits_unresponsive) and self._replicator.covers_all_messages(
            self._read_disks
        ):
            self._restore()

    def _request_page(self, disk: str, after: _Cursor) -> None:
        address = self._replicator.address_of(disk)
        if self.is_finished or address is None:
            self._in_flight.discard(disk)
            return
        self._in_flight.add(disk)
        on_reply = partial(self._on_page, disk, after)
        request(self._runtime, address, EndedMessagesRequest(self._shards, after), READ_TIMEOUT_S, on_reply)

    def _on_page(self, disk: str, after: _Cursor, reply: Result[EndedMessagesReply, RequestFailure]) -> None:
        if self.is_finished or self._is_restoring:
            return
        if isinstance(reply, Err) or reply.ok_value.disk_id != disk:
            # The storage node is down, or it has a new disk and the updated roster has not arrived yet.
            self._runtime.call_later(READ_RETRY_S, partial(self._request_page, disk, after))
            return
        page = reply.ok_value
        for acknowledgement in page.acknowledgements:
            self._add(disk, acknowledgement)
        if page.has_more:
            last = page.acknowledgements[-1]
            self._request_page(disk, (last.shard, last.message_id))
            return
        self._in_flight.discard(disk)
        self._read_disks.add(disk)
        self._read_on()

    def _add(self, disk: str, acknowledgement: Acknowledgement) -> None:
        message_id = acknowledgement.message_id
        known = self._outcomes.get(message_id)
        if known is None or known.retain_until < acknowledgement.retain_until:
            self._outcomes[message_id] = acknowledgement
        self._holders.setdefault(message_id, set()).add(disk)

    # -- restoring

    def _restore(self) -> None:
        """Record the outcomes that are on too few disks and not expired on further disks."""
        self._is_restoring = True
        now = self._runtime.wall_clock()
        under_replicated = [
            acknowledgement
            for message_id, acknowledgement in self._outcomes.items()
            if acknowledgement.retain_until > now
            and not self._replicator.is_write_quorum(self._holders[message_id])
        ]
        if under_replicated:
            logging.info("%d outcomes are recorded on further storage nodes", len(under_replicated))
        self._restoring = len(under_replicated) + 1
        for acknowledgement in under_replicated:
            holders = self._holders[acknowledgement.message_id]
            self._replicator.restore_outcome(acknowledgement, holders, self._on_restored)
        self._on_restored()

    def _on_restored(self) -> None:
        self._restoring -= 1
        if self._restoring == 0 and not self.is_finished:
            self.is_finished = True
            self._on_complete()
