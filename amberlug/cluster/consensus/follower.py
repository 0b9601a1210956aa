"""The follower's side: AppendEntries (Raft, section 5.3) and InstallSnapshot in chunks (section 7)."""

from __future__ import annotations

import json
from collections.abc import Callable

from amberlug.cluster.consensus.context import MemberContext
from amberlug.cluster.consensus.messages import (
    AcknowledgedIndexes,
    AppendEntries,
    FollowerReply,
    LeaderHeader,
    TransferChunk,
)
from amberlug.cluster.consensus.persistent_state import Entry, Snapshot
from amberlug.cluster.consensus.roles import Role
from amberlug.cluster.consensus.snapshot_transfer import ENTRY, IncomingTransfer, TransferHeader
from amberlug.cluster.rpc.messages import Responder
from amberlug.cluster.values import value

MAX_SYNC_WAITERS = 8  # replies that wait for the disk; older ones have timed out at the leader


@value
class _SyncWaiter:
    """A reply that is deferred until the log is on disk up to an index."""

    index: int
    term: int
    action: Callable[[], None]


class Follower:
    """Handles a leader's messages in the follower role.

    Invariant (Log Matching; Raft, section 5.3): entries are appended only after an entry that matches the
    leader's log, as do all entries before it. Acknowledged entries are on disk (Raft, figure 2).
    """

    def __init__(self, raft: MemberContext) -> None:
        self._raft = raft
        self.incoming: IncomingTransfer | None = None
        self.checksum_failures = 0  # of transfers
        self._sync_waiters: list[_SyncWaiter] = []

    # -- the disk

    def on_synced(self) -> None:
        """Send the deferred replies whose entries are now on disk."""
        raft = self._raft
        waiters, self._sync_waiters = self._sync_waiters, []
        for waiter in waiters:
            if waiter.term == raft.term and waiter.index <= raft.log.synced_index:
                waiter.action()
            elif waiter.term == raft.term:
                self._sync_waiters.append(waiter)

    def _acknowledge_when_synced(self, index: int, respond: Responder) -> None:
        """Acknowledge the log up to an index once it is on disk, provided that the term has not changed."""
        term = self._raft.term
        waiter = _SyncWaiter(index, term, lambda: respond(FollowerReply(success=True, term=term)))
        self._sync_waiters = [*self._sync_waiters, waiter][-MAX_SYNC_WAITERS:]
        self.on_synced()

    # -- the leader

    def _accept_leader(self, header: LeaderHeader, acknowledged: AcknowledgedIndexes) -> bool:
        """Whether a message is addressed to this member and comes from the leader of the highest known term.

        Leaders of older terms are rejected (Raft, section 5.1). A leader of the same term has won its
        election, so a candidate becomes a follower (section 5.2).
        """
        raft = self._raft
        if header.target_id != raft.member_id or raft.is_stopped:
            return False
        if header.term < raft.term:
            return False
        if raft.rollback_guard.has_lost_entries(acknowledged):
            raft.restart_as_new_incarnation()
            return False
        raft.rollback_guard.may_vote = True
        raft.observe_term(header.term)
        assert not raft.is_leader, "two leaders in one term"
        has_changed = raft.leader_id != header.leader_id or raft.role is not Role.FOLLOWER
        raft.role, raft.leader_id = Role.FOLLOWER, header.leader_id
        raft.leader_contact_at = raft.runtime.now()
        if has_changed:
            raft.on_change()
        raft.election.restart_timer()
        return True

    def _reject(self, header: LeaderHeader, respond: Responder) -> None:
        raft = self._raft
        is_wrong_target = header.target_id != raft.member_id or raft.is_stopped
        respond(FollowerReply(success=False, term=raft.term, is_wrong_target=is_wrong_target))

    # -- entries

    def on_append_entries(self, message: AppendEntries, respond: Responder) -> None:
        """Handle entries or a heartbeat."""
        if not self._accept_leader(message.header, message.acknowledged):
            self._reject(message.header, respond)
        elif self._is_consistent(message.previous_index, message.previous_term, respond):
            commit_index = message.header.commit_index
            self._append_after(message.previous_index, message.entries, commit_index, respond)

    def _is_consistent(self, previous_index: int, previous_term: int, respond: Responder) -> bool:
        """Perform the consistency check of AppendEntries (Raft, section 5.3).

        If it fails, the reply contains the last index that may match, so that the leader skips missing
        entries in one step, and backs up over entries of conflicting terms one by one.
        """
        log = self._raft.log
        if previous_index < log.base_index:  # committed, thus identical in the leader's log
            return True
        if previous_index <= log.last_index and log.term_at(previous_index) == previous_term:
            return True
        last_index = min(log.last_index, previous_index - 1)
        respond(FollowerReply(success=False, term=self._raft.term, last_index=last_index))
        return False

    def _append_after(
        self, previous_index: int, entries: list[Entry], commit_index: int, respond: Responder
    ) -> None:
        """Append the entries that are new, and acknowledge all of them once they are on disk.

        Entries that conflict with the leader's are truncated. Matching entries are not, since the message may
        be delayed and the log longer by now (Raft, section 5.3 and figure 2). The log is known to be
        committed and to match the leader's up to the smaller of the leader's commit index and the last entry
        of the message.
        """
        raft, log = self._raft, self._raft.log
        last_index = previous_index + len(entries)
        if previous_index < log.base_index:  # skip entries that were compacted, and are thus committed
            entries = entries[log.base_index - previous_index :]
            previous_index = log.base_index
        matching = self._matching_count(previous_index, entries)
        new_entries = entries[matching:]
        if new_entries:
            first_index = previous_index + matching + 1
            truncate_from = first_index if first_index <= log.last_index else 0
            assert (
                not truncate_from or truncate_from > raft.commit_index
            ), "a committed entry would be truncated"
            log.append(new_entries, truncate_from)
            raft.refresh_membership()
        self._acknowledge_when_synced(last_index, respond)
        raft.commit_to(min(commit_index, last_index))

    def _matching_count(self, previous_index: int, entries: list[Entry]) -> int:
        """Return how many leading entries are already in the log, by index and term."""
        log = self._raft.log
        for count, entry in enumerate(entries):
            index = previous_index + count + 1
            if index > log.last_index or log.term_at(index) != entry.term:
                return count
        return len(entries)

    # -- transfers

    def on_chunk(self, message: TransferChunk, respond: Responder) -> None:
        """Handle a chunk of an entry or a snapshot; the last chunk completes the transfer.

        A long entry is treated like an AppendEntries message with one entry, a snapshot like InstallSnapshot
        (Raft, figure 13). The reply to a chunk without data states how much was received.
        """
        if not self._accept_leader(message.header, message.acknowledged):
            self._reject(message.header, respond)
            return
        raft, transfer = self._raft, message.transfer
        previous_index = transfer.last_index - 1
        has_entry = False
        if transfer.kind == ENTRY:
            if not self._is_consistent(previous_index, message.previous_term, respond):
                return
            raft.commit_to(min(message.header.commit_index, previous_index))
            has_entry = raft.log.term_at(transfer.last_index) == transfer.last_term
        if has_entry or transfer.last_index <= raft.commit_index:
            self._answer_duplicate(message, respond)
        else:
            self._receive(message, respond)

    def _answer_duplicate(self, message: TransferChunk, respond: Responder) -> None:
        """Reply to a chunk of a transfer that is complete, although perhaps not on disk yet."""
        raft, transfer = self._raft, message.transfer
        if message.data or raft.log.synced_index >= transfer.last_index:
            self._acknowledge_when_synced(transfer.last_index, respond)
        else:
            respond(FollowerReply(success=False, term=raft.term, received_bytes=transfer.size_bytes))

    def _receive(self, message: TransferChunk, respond: Responder) -> None:
        raft, transfer = self._raft, message.transfer
        incoming = self.incoming
        if incoming is None or incoming.header != transfer:
            incoming = self.incoming = IncomingTransfer(transfer)
        if message.data:
            incoming.add(message.offset_bytes, message.data)
        data = incoming.verified() if incoming.is_complete else None
        if data is None:
            self.checksum_failures += 1 if message.data and not incoming.data else 0
            respond(FollowerReply(success=False, term=raft.term, received_bytes=len(incoming.data)))
            return
        self.incoming = None
        if transfer.kind == ENTRY:
            entry = Entry(transfer.last_term, json.loads(data))
            self._append_after(transfer.last_index - 1, [entry], message.header.commit_index, respond)
        else:
            self._install_snapshot(transfer, Snapshot.decode(data), respond)

    def _install_snapshot(self, transfer: TransferHeader, snapshot: Snapshot, respond: Responder) -> None:
        """Replace everything that a leader's snapshot covers, including the membership (Raft, figure 13)."""
        raft, index = self._raft, transfer.last_index
        raft.log.install(transfer, snapshot, raft.commit_index)
        raft.commit_index = raft.last_applied = index
        if snapshot.state is not None:
            raft.state_machine.restore(snapshot.state)
        raft.refresh_membership()
        self._acknowledge_when_synced(index, respond)
        raft.on_change()
