"""The leader's side of transfers: sends long entries and snapshots in chunks (Raft, section 7)."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from amberlug.cluster.consensus.context import MemberContext, ReplicationControl
from amberlug.cluster.consensus.messages import FollowerReply, TransferChunk
from amberlug.cluster.consensus.peer_progress import LeaderRequest, PeerProgress, RequestKind
from amberlug.cluster.consensus.snapshot_transfer import (
    CHUNK_BYTES,
    ENTRY,
    SNAPSHOT,
    Chunk,
    OutgoingTransfer,
    TransferHeader,
    reply_timeout_s,
)


class ChunkSender:
    """Decides what to send to a peer in chunks, and sends the chunks."""

    def __init__(self, raft: MemberContext, replication: ReplicationControl) -> None:
        self._raft, self._replication = raft, replication

    def prepare(self, peer: PeerProgress) -> bool:
        """Begin a transfer if the peer's next missing item needs one; returns whether one is active.

        A transfer in progress is always finished, so that a slow peer receives a complete snapshot even if
        newer ones are taken faster than it can receive them.
        """
        transfer = peer.transfer
        if transfer is not None and transfer.header.last_index >= peer.next_index:
            return True
        log, index = self._raft.log, peer.next_index
        peer.transfer = None
        if index <= log.base_index:
            peer.transfer = self._begin(
                peer, SNAPSHOT, log.snapshot_index, log.snapshot_term, log.encoded_snapshot
            )
        elif index <= log.last_index and log.size_bytes(index) > CHUNK_BYTES:
            encode = partial(log.encoded_entry, index)
            peer.transfer = self._begin(peer, ENTRY, index, log.term_at(index), encode)
        return peer.transfer is not None

    def _begin(
        self, peer: PeerProgress, kind: str, last_index: int, last_term: int, encode: Callable[[], str]
    ) -> OutgoingTransfer:
        """Begin a transfer; data that is already being sent to another peer is not encoded again."""
        previous_term = self._raft.log.term_at(last_index - 1)
        for other in self._replication.peers.values():
            transfer = other.transfer
            if transfer is not None and transfer.header.is_for(kind, last_index, last_term):
                return OutgoingTransfer(transfer.header, transfer.data, peer.window, previous_term)
        data = encode().encode()
        header = TransferHeader.describe(kind, last_index, last_term, data)
        return OutgoingTransfer(header, data, peer.window, previous_term)

    def send_chunks(self, name: str, peer: PeerProgress) -> None:
        """Send as many chunks as the peer's window allows."""
        now = self._raft.runtime.now
        while peer.transfer is not None and (chunk := peer.transfer.next_chunk(now())) is not None:
            self._send(name, peer, peer.transfer, chunk)

    def send_status_request(self, name: str, peer: PeerProgress) -> None:
        """Query how much of its transfer a peer has received; the query also serves as a heartbeat."""
        assert peer.transfer is not None, "a status request without a transfer"
        self._send(name, peer, peer.transfer, None)

    def _send(self, name: str, peer: PeerProgress, transfer: OutgoingTransfer, chunk: Chunk | None) -> None:
        def on_reply(reply: FollowerReply) -> bool:
            """Handle the reply to a chunk or status request; returns whether more may be sent immediately."""
            if peer.transfer is not transfer:
                return False
            if reply.success:
                peer.transfer = None
                self._replication.on_matched(peer, transfer.header.last_index)
            elif reply.received_bytes is None:
                peer.decrement_next_index(reply.last_index or 0)
            elif chunk is None:
                transfer.on_status(reply.received_bytes)
            else:
                now = self._raft.runtime.now()
                return transfer.on_acknowledged(chunk.number, reply.received_bytes, now)
            return True

        leader_request = self._request(name, transfer, chunk, on_reply)
        self._replication.send_request(name, peer, leader_request)

    def _request(
        self,
        name: str,
        transfer: OutgoingTransfer,
        chunk: Chunk | None,
        on_reply: Callable[[FollowerReply], bool],
    ) -> LeaderRequest:
        """Create the request for a chunk, or the status request if there is no chunk."""
        message = TransferChunk(
            self._replication.header_for(name),
            transfer.header,
            transfer.previous_term,
            0 if chunk is None else chunk.offset_bytes,
            b"" if chunk is None else chunk.data,
            self._raft.rollback_guard.indexes_for(name),
        )
        if chunk is None:
            timeout_s = reply_timeout_s(transfer.sent_bytes - transfer.received_bytes)
            return LeaderRequest(RequestKind.HEARTBEAT, message, timeout_s, on_reply)
        on_lost = partial(transfer.on_lost, chunk.number)
        return LeaderRequest(RequestKind.CHUNK, message, chunk.timeout_s, on_reply, on_lost)
