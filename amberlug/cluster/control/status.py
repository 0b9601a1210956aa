"""Operators' read-only calls: the status of the whole deployment in one reply, and metrics. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import TypeAlias

from result import Ok

from amberlug.cluster import metrics
from amberlug.cluster.control.context import ControlContext
from amberlug.cluster.control.peer_messages import ControlStatusReport, ReadControlStatus
from amberlug.cluster.control.peer_query import PeerQuery, Replies
from amberlug.cluster.control.published_state import ENDPOINT_KEY_PREFIX
from amberlug.cluster.control.sessions import Session
from amberlug.cluster.control.state_entries import StoreEntry, StoreState
from amberlug.cluster.control.status_document import (
    ClusterStatus,
    ConsensusStatus,
    EndpointStatus,
    Reports,
    SessionStatus,
    ShardStatus,
    StoreStatus,
)
from amberlug.cluster.http.api import HttpRequest, HttpResponse, RespondHttp, api_call
from amberlug.cluster.node_status import NodeStatusReport, NodeStatusRequest
from amberlug.cluster.rpc.messages import Responder, handles

MemberSessions: TypeAlias = Mapping[str, Session]  # by name


class StatusService:
    """Reads the status of the deployment from one control-plane node."""

    def __init__(self, context: ControlContext) -> None:
        self._runtime, self._raft, self._quorum = context.runtime, context.raft, context.quorum
        self._cluster_state, self._sessions = context.cluster_state, context.sessions
        self._gossip, self._counters = context.gossip, context.counters

    @api_call("GET", metrics.PATH)
    def read_counters(self, request: HttpRequest, name: str, respond: RespondHttp) -> None:
        """Reply with the counters of this process."""
        respond(HttpResponse(200, {}, page=metrics.page(self._counters)))

    @api_call("GET", "/-/Foreman.Status")
    def read_status(self, request: HttpRequest, name: str, respond: RespondHttp) -> None:
        """Reply with the status of the whole deployment, even if some nodes do not respond."""
        members = self._sessions.members(self._runtime.now())
        is_confirmed = False

        def receive(replies: Replies[NodeStatusReport]) -> None:
            """Respond with the status, including nodes that did not reply."""
            reports = {
                node: reply.ok_value if isinstance(reply, Ok) else None for node, reply in replies.items()
            }
            reports[self._raft.member_id] = NodeStatusReport(self._own_status().to_wire())
            status = self._cluster_status(members, reports, is_confirmed)
            respond(HttpResponse(200, status.to_json()))

        query = PeerQuery(self._runtime, receive)
        self._request_reports(query, members)
        finish_waiting = query.wait()

        def receive_index(index: int | None) -> None:
            """Note whether a majority confirmed the state, and stop waiting for that."""
            nonlocal is_confirmed
            is_confirmed = index is not None
            finish_waiting()

        self._quorum.confirm_index(receive_index)
        query.finish_sending()

    @handles(ReadControlStatus)
    def on_read_status(self, message: ReadControlStatus, origin: str, respond: Responder) -> None:
        """Reply to another control-plane node with this node's own status."""
        respond(self._own_status())

    def _request_reports(self, query: PeerQuery[NodeStatusReport], members: MemberSessions) -> None:
        """Request a report from each member and each other control-plane node."""
        node_request = NodeStatusRequest(self._replica_disks(members))
        for session in members.values():
            query.request(session.id, session.address, node_request)
        for member_id, member in self._raft.members.items():
            if member_id != self._raft.member_id:
                query.request(member_id, member.address, ReadControlStatus())

    def _own_status(self) -> ControlStatusReport:
        return ControlStatusReport(
            role=self._raft.role.value,
            term=self._raft.term,
            leader_id=self._raft.leader_id,
            commit_index=self._raft.commit_index,
            config_version=self._cluster_state.config_version,
            counters=self._counters,
        )

    def _replica_disks(self, members: MemberSessions) -> Sequence[str]:
        """Return the disks whose replicas count and whose storage nodes have a session."""
        return [
            disk
            for disk, store in self._cluster_state.roster.items()
            if store.state is StoreState.FULL and _has_session(members, disk, store)
        ]

    def _cluster_status(self, members: MemberSessions, reports: Reports, is_confirmed: bool) -> ClusterStatus:
        state = self._cluster_state
        sessions = sorted(members.values(), key=lambda session: (session.node.machine_class, session.name))
        return ClusterStatus(
            reported_by=self._raft.member_id,
            reported_at_s=self._runtime.now(),
            is_confirmed=is_confirmed,
            sessions=[SessionStatus(session, reports.get(session.id)) for session in sessions],
            consensus=self._consensus_status(reports),
            shards=ShardStatus(state.shards_index, Counter(shard.owner for shard in state.shards)),
            stores=self._store_status(members),
            config_version=state.config_version,
            config_index=state.config_index,
            endpoints=self._endpoints(),
            counters=_sum_counters(reports.values()),
        )

    def _consensus_status(self, reports: Reports) -> ConsensusStatus:
        raft = self._raft
        return ConsensusStatus(raft.term, raft.leader_id, raft.commit_index, raft.members, reports)

    def _store_status(self, members: MemberSessions) -> Mapping[str, StoreStatus]:
        stores = sorted(self._cluster_state.roster.items(), key=lambda item: item[1].name)
        return {disk: StoreStatus(store, _has_session(members, disk, store)) for disk, store in stores}

    def _endpoints(self) -> list[EndpointStatus]:
        return [
            EndpointStatus.from_gossip(key, entry)
            for key, (_, entry) in self._gossip.items.items()
            if key.startswith(ENDPOINT_KEY_PREFIX)
        ]


def _has_session(members: MemberSessions, disk: str, store: StoreEntry) -> bool:
    """Whether a storage node has a session with this disk."""
    session = members.get(store.name)
    return session is not None and session.details.get("disk") == disk


def _sum_counters(reports: Iterable[NodeStatusReport | None]) -> Counter[str]:
    total: Counter[str] = Counter()
    for report in reports:
        total.update(report.counters if report is not None else {})
    return total
