"""The leader's side: heartbeats (Raft, section 5.2), log replication (5.3), the commit rule (5.4.2).

At most one message with entries is in flight to a peer at a time, plus a heartbeat if one is due.

Invariant (Leader Completeness; Raft, section 5.4.3): an entry is committed only once a majority has it on
disk together with an entry of the leader's term, so every later leader has it.
"""

from __future__ import annotations

from absl import logging
from result import Err, Result

from amberlug.cluster.consensus.chunk_sender import ChunkSender
from amberlug.cluster.consensus.context import MemberContext
from amberlug.cluster.consensus.election import MAX_ELECTION_TIMEOUT_S, MIN_ELECTION_TIMEOUT_S
from amberlug.cluster.consensus.messages import (
    AppendEntries,
    FollowerReply,
    LeaderHeader,
    TimeoutNow,
)
from amberlug.cluster.consensus.peer_progress import (
    LeaderRequest,
    PeerProgress,
    PendingRequest,
    RequestKind,
)
from amberlug.cluster.consensus.persistent_state import Entry
from amberlug.cluster.consensus.snapshot_transfer import reply_timeout_s
from amberlug.cluster.interfaces import RequestFailure
from amberlug.cluster.rpc.messages import request, send

HEARTBEAT_INTERVAL_S = 0.1  # a fifth of the election timeout, so that four in a row may be lost
# Time since the last message to a peer after which a heartbeat is due, whatever is in flight. It is less than
# the interval, since otherwise an interval measured slightly too short would skip a heartbeat.
HEARTBEAT_DUE_S = 0.9 * HEARTBEAT_INTERVAL_S


class Replication:
    """Replicates the leader's log to the other members; idle in other roles."""

    def __init__(self, raft: MemberContext) -> None:
        self.raft = raft
        self._chunks = ChunkSender(raft, self)
        self.peers: dict[str, PeerProgress] = {}
        self.send_failures = 0  # messages that could not be created or sent
        self._request_number = 0

    def start(self) -> None:
        """Start leading with an entry of the new term, which commits those before it (Raft, section 8).

        The next index of each peer is initialized to the one after the last entry (Raft, figure 2).
        """
        raft = self.raft
        now = raft.runtime.now()
        self.peers = {
            name: PeerProgress(raft.log.last_index + 1, replied_at=now)
            for name in raft.members
            if name != raft.member_id
        }
        raft.append([Entry(raft.term, None)])

    def track_members(self) -> None:
        """Update the tracked peers after a membership change, while leading."""
        raft = self.raft
        if not raft.is_leader:
            return
        now = raft.runtime.now()
        for name in raft.members:
            if name != raft.member_id and name not in self.peers:
                self.peers[name] = PeerProgress(max(1, raft.log.base_index), replied_at=now)
        for name in sorted(set(self.peers) - set(raft.members)):
            del self.peers[name]

    # -- progress of peers

    def has_replicated(self, name: str, index: int) -> bool:
        """Whether a member is known to have the log on disk up to an index."""
        raft = self.raft
        if name == raft.member_id:
            return raft.log.synced_index >= index
        peer = self.peers.get(name)
        return peer is not None and peer.match_index >= index

    def unresponsive_s(self, name: str) -> float:
        """Return the seconds since a member last replied to this leader."""
        peer = self.peers.get(name)
        return 0.0 if peer is None else self.raft.runtime.now() - peer.replied_at

    def match_indexes(self) -> dict[str, int]:
        """Return the match index of each member, including this one (Raft, figure 2)."""
        match_indexes = {name: peer.match_index for name, peer in self.peers.items()}
        match_indexes[self.raft.member_id] = self.raft.log.synced_index
        return match_indexes

    # -- sending

    def send_heartbeats(self) -> None:
        """Send to all peers periodically, as long as a majority replies.

        A leader that receives no replies from a majority within an election timeout steps down (dissertation,
        section 6.2).
        """
        raft = self.raft
        if not raft.is_leader or raft.is_stopped:
            return
        # Scheduled first, so that an error below does not stop the heartbeats.
        raft.schedule(HEARTBEAT_INTERVAL_S, self.send_heartbeats)
        now = raft.runtime.now()
        responsive = {
            name for name, peer in self.peers.items() if now - peer.replied_at < MAX_ELECTION_TIMEOUT_S
        }
        if not raft.has_majority(responsive | {raft.member_id}):
            raft.step_down()
            return
        raft.rollback_guard.on_acknowledged(self.match_indexes(), raft.commit_index)
        self.send_to_all()

    def send_to_all(self) -> None:
        """Send each peer its missing entries, or a heartbeat if one is due."""
        for name, peer in list(self.peers.items()):
            self._send(name, peer)

    def send_new_entries(self) -> None:
        """Send to the peers with missing entries."""
        for name, peer in list(self.peers.items()):
            if peer.next_index <= self.raft.log.last_index:
                self._send(name, peer)

    def _send(self, name: str, peer: PeerProgress) -> None:
        """Send the next message to a peer; errors do not affect other peers."""
        try:
            self.send_next(name, peer)
        except AssertionError:
            raise
        except Exception:
            self.send_failures += 1
            if self.send_failures == 1:
                logging.exception("failed to send to peer %s", name)

    def send_next(self, name: str, peer: PeerProgress) -> None:
        """Send a peer its next missing chunks or entries, unless they are already in flight.

        A heartbeat is sent whatever is in flight; otherwise, the peer's election timeout would elapse.
        """
        now = self.raft.runtime.now()
        needs_heartbeat = now - peer.sent_at >= HEARTBEAT_DUE_S
        needs_heartbeat = needs_heartbeat and not peer.is_waiting(RequestKind.HEARTBEAT, now)
        if self._chunks.prepare(peer):
            if not peer.is_unresponsive:
                self._chunks.send_chunks(name, peer)
            if needs_heartbeat and peer.sent_at < now:
                self._chunks.send_status_request(name, peer)
            return
        is_waiting = peer.is_waiting(RequestKind.ENTRIES, now)
        if is_waiting and not needs_heartbeat:
            return
        self._send_entries(name, peer, is_waiting)

    def _send_entries(self, name: str, peer: PeerProgress, is_heartbeat: bool) -> None:
        """Send AppendEntries; entries are omitted for heartbeats and for unresponsive peers."""
        raft, log = self.raft, self.raft.log
        previous_index = peer.next_index - 1
        entries = [] if is_heartbeat or peer.is_unresponsive else log.batch_after(previous_index)
        last_index = previous_index + len(entries)

        def on_reply(reply: FollowerReply) -> bool:
            """Update the peer's match or next index; returns that more may be sent immediately."""
            if reply.success:
                self.on_matched(peer, last_index)
            else:
                peer.decrement_next_index(reply.last_index or 0)
            return True

        message = AppendEntries(
            self.header_for(name),
            previous_index,
            log.term_at(previous_index),
            entries,
            raft.rollback_guard.indexes_for(name),
        )
        kind = RequestKind.HEARTBEAT if is_heartbeat else RequestKind.ENTRIES
        timeout_s = reply_timeout_s(log.size_bytes(previous_index + 1, len(entries)))
        self.send_request(name, peer, LeaderRequest(kind, message, timeout_s, on_reply))

    def header_for(self, name: str) -> LeaderHeader:
        """Return the common header of messages to a peer."""
        raft = self.raft
        return LeaderHeader(raft.term, raft.member_id, name, raft.commit_index)

    def send_request(self, name: str, peer: PeerProgress, leader_request: LeaderRequest) -> None:
        """Send a request; its reply is ignored once the leadership of this term has ended."""
        raft, kind = self.raft, leader_request.kind
        now = raft.runtime.now()
        self._request_number += 1
        number, term, read_sequence = self._request_number, raft.term, raft.reads.sequence
        peer.sent_at = now
        peer.pending[kind] = PendingRequest(number, now + leader_request.timeout_s)

        def on_outcome(outcome: Result[FollowerReply, RequestFailure]) -> None:
            """Handle the reply or failure, unless the peer, the term or the role has changed."""
            if self.peers.get(name) is not peer or raft.term != term or not raft.is_leader:
                return
            if kind in peer.pending and peer.pending[kind].number == number:
                del peer.pending[kind]
            if isinstance(outcome, Err):
                peer.is_unresponsive = True
                leader_request.on_lost()
                return
            reply = outcome.ok_value
            if reply.term > raft.term:
                raft.observe_term(reply.term)
            elif not reply.is_wrong_target:
                peer.acknowledged_read = max(peer.acknowledged_read, read_sequence)
                self._on_reply(name, peer, leader_request, reply)

        address = raft.members[name].address
        request(raft.runtime, address, leader_request.message, leader_request.timeout_s, on_outcome)

    def _on_reply(
        self, name: str, peer: PeerProgress, leader_request: LeaderRequest, reply: FollowerReply
    ) -> None:
        """Handle a reply of the current term, and continue with the entries that the peer still lacks."""
        raft = self.raft
        peer.replied_at, peer.is_unresponsive = raft.runtime.now(), False
        may_send_more = leader_request.on_reply(reply)
        raft.reads.resolve()
        if not may_send_more or not raft.is_leader or self.peers.get(name) is not peer:
            return
        if peer.next_index <= raft.log.last_index or peer.acknowledged_read < raft.reads.sequence:
            self._send(name, peer)

    # -- committing

    def on_matched(self, peer: PeerProgress, index: int) -> None:
        """Record that a peer has the log on disk up to an index."""
        peer.acknowledge(index)
        self.advance_commit_index()

    def advance_commit_index(self) -> None:
        """Commit the entries that a majority has on disk, up to one of the current term (section 5.4.2).

        Invariant: an entry of an older term is committed only by a later entry of the current term, since
        another leader could still replace it even if a majority stores it (Raft, figure 8).
        """
        raft = self.raft
        match_indexes = self.match_indexes()
        indexes = sorted((match_indexes.get(name, 0) for name in raft.members.voters), reverse=True)
        if not indexes:
            return
        index = indexes[len(indexes) // 2]  # a majority of the voters has the log up to here
        if index > raft.commit_index and raft.log.term_at(index) == raft.term:
            raft.commit_to(index)
            self.send_to_all()
            raft.reads.resolve()
            if raft.member_id not in raft.members:
                raft.step_down()  # it leads until its own removal is committed (dissertation, section 4.2.2)

    # -- planned stop

    def transfer_leadership(self) -> None:
        """Before a planned stop, have another voter start an election at once (dissertation, section 3.10).

        The target is the responsive voter with the longest known log, or the last of equals by name; without
        one, nothing happens. Unlike in the dissertation, the leader does not wait until the target's log is
        complete: if the target loses the election, another one follows after the election timeout.
        """
        raft = self.raft
        candidates = [
            (peer.match_index, name)
            for name, peer in self.peers.items()
            if raft.members.is_voter(name) and self.unresponsive_s(name) < MIN_ELECTION_TIMEOUT_S
        ]
        if candidates:
            name = max(candidates)[1]
            send(raft.runtime, raft.members[name].address, TimeoutNow(raft.term, name))
