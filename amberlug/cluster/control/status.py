"""Operators' calls that only read: the status of the whole deployment in one reply. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from result import Ok, Result

from amberlug.cluster import metrics
from amberlug.cluster.control.context import ControlContext
from amberlug.cluster.control.peer_messages import ReadControlStatus, StatusReply
from amberlug.cluster.control.peer_query import PeerQuery, Replies
from amberlug.cluster.control.published_state import ENDPOINT_KEY_PREFIX
from amberlug.cluster.control.reconciler import EDGE_CLASS
from amberlug.cluster.control.sessions import Session
from amberlug.cluster.control.state_entries import StoreEntry, StoreState
from amberlug.cluster.http.api import HttpRequest, HttpResponse, RespondHttp, api_call
from amberlug.cluster.interfaces import Json, Reply, RequestFailure
from amberlug.cluster.rpc.messages import Responder, handles
from amberlug.cluster.values import value

NODE_STATUS_TAG = "status"  # asks an edge or storage node for its status

Members = Mapping[str, Session]  # by name


@value
class _Snapshot:
    """What the status of the deployment is made of.

    :param reports: by node, its own status; None where it did not reply in time.
    :param is_confirmed: whether a majority confirmed the commit index meanwhile.
    """

    members: Members
    reports: Mapping[str, Json | None]
    is_confirmed: bool


class StatusService:
    """Reads the status of the deployment from one control-plane node."""

    def __init__(self, context: ControlContext) -> None:
        self._runtime, self._raft, self._quorum = context.runtime, context.raft, context.quorum
        self._cluster_state, self._sessions = context.cluster_state, context.sessions
        self._gossip, self._counters = context.gossip, context.counters

    @api_call("GET", metrics.PATH)
    def read_counters(self, request: HttpRequest, name: str, respond: RespondHttp) -> None:
        """Reply with this process's counters."""
        respond(HttpResponse(200, {}, page=metrics.page(self._counters)))

    @api_call("GET", "/-/Foreman.Status")
    def read_status(self, request: HttpRequest, name: str, respond: RespondHttp) -> None:
        """Reply with the status of the whole deployment, also where some nodes do not respond."""
        members = self._sessions.members(self._runtime.now())
        confirmed: list[int] = []

        def receive(replies: Replies) -> None:
            reports = {name: _report(reply) for name, reply in replies.items()}
            reports[self._raft.member_id] = self._own_status()
            snapshot = _Snapshot(members, reports, bool(confirmed))
            respond(HttpResponse(200, self._document(snapshot)))

        query = PeerQuery(self._runtime, receive)
        body = {"up": self._full_disks(members)}
        for session in members.values():
            query.request(session.id, session.address, NODE_STATUS_TAG, body)
        for member_id, member in self._raft.members.items():
            if member_id != self._raft.member_id:
                query.request(member_id, member["addr"], ReadControlStatus.wire_tag, {})
        finish_waiting = query.wait()

        def receive_index(index: int | None) -> None:
            if index is not None:
                confirmed.append(index)
            finish_waiting()

        self._quorum.confirm_index(receive_index)
        query.finish_sending()

    @handles(ReadControlStatus)
    def on_read_status(self, message: ReadControlStatus, origin: str, respond: Responder) -> None:
        """Reply to another control-plane node with this node's own status."""
        respond(StatusReply(self._own_status()))

    def _own_status(self) -> Json:
        return {
            "role": self._raft.role.value,
            "term": self._raft.term,
            "leader": self._raft.leader_id,
            "commit": self._raft.commit_index,
            "edition": self._cluster_state.config_version,
            "counts": self._counters,
        }

    def _full_disks(self, members: Members) -> list[str]:
        """Disks whose replicas count, and whose storage nodes have a session."""
        return [
            disk
            for disk, store in self._cluster_state.roster.items()
            if store.state is StoreState.FULL and _has_session(members, disk, store)
        ]

    def _document(self, snapshot: _Snapshot) -> Json:
        rows = self._member_rows(snapshot)
        edges = [row for row in rows if row["class"] == EDGE_CLASS]
        short = [row["told"]["copies short"] for row in edges if row["told"] is not None]
        return {
            "by": self._raft.member_id,
            "confirmed": snapshot.is_confirmed,
            "members": rows,
            "core": self._consensus_status(snapshot.reports),
            "shards": self._shard_status(),
            "stores": self._store_status(snapshot.members),
            "configuration": self._config_status(edges),
            "endpoints": self._endpoints(),
            "copies_short": sum(short),
            "copies_unknown": len(edges) - len(short),
            "counters": dict(sorted(_sum_counters(snapshot.reports.values()).items())),
        }

    def _member_rows(self, snapshot: _Snapshot) -> list[Json]:
        now_s = self._runtime.now()
        sessions = sorted(snapshot.members.values(), key=lambda it: (it.machine_class, it.name))
        return [
            {
                "name": session.name,
                "incarnation": session.incarnation,
                "class": session.machine_class,
                "zone": session.zone,
                "region": session.region,
                "state": session.state,
                "address": session.address,
                "for_s": round(now_s - session.opened_at_s, 1),
                "silent_s": round(now_s - session.last_heartbeat_at_s, 2),
                "told": snapshot.reports.get(session.id),
            }
            for session in sessions
        ]

    def _consensus_status(self, reports: Mapping[str, Json | None]) -> Json:
        return {
            "term": self._raft.term,
            "leader": self._raft.leader_id,
            "commit": self._raft.commit_index,
            "members": [
                {"id": member_id, **member, "told": reports.get(member_id)}
                for member_id, member in sorted(self._raft.members.items())
            ],
        }

    def _shard_status(self) -> Json:
        counts = Counter(shard.owner for shard in self._cluster_state.shards)
        return {
            "at": self._cluster_state.shards_index,
            "owners": {owner: counts[owner] for owner in sorted(counts) if owner},
            "nobody": counts[""],
        }

    def _store_status(self, members: Members) -> Json:
        stores = sorted(self._cluster_state.roster.items(), key=lambda item: item[1].name)
        return {
            disk: {**store.to_wire(), "session": _has_session(members, disk, store)} for disk, store in stores
        }

    def _config_status(self, edges: Iterable[Json]) -> Json:
        return {
            "edition": self._cluster_state.config_version,
            "at": self._cluster_state.config_index,
            "edges": {
                str(row["name"]): row["told"]["edition"] if row["told"] is not None else None for row in edges
            },
        }

    def _endpoints(self) -> list[Json]:
        endpoints: list[Json] = [
            {"id": key.removeprefix(ENDPOINT_KEY_PREFIX), **entry}
            for key, (_, entry) in self._gossip.items.items()
            if key.startswith(ENDPOINT_KEY_PREFIX)
        ]
        return sorted(endpoints, key=lambda it: (it["service"], it["cond"], it["id"]))


def _report(reply: Result[Reply, RequestFailure]) -> Json | None:
    return reply.ok_value.body if isinstance(reply, Ok) else None


def _has_session(members: Members, disk: str, store: StoreEntry) -> bool:
    """Whether a storage node is a member, with this disk."""
    session = members.get(store.name)
    return session is not None and session.details.get("disk") == disk


def _sum_counters(reports: Iterable[Json | None]) -> Counter[str]:
    total: Counter[str] = Counter()
    for report in reports:
        total.update(report["counts"] if report is not None else {})
    return total
