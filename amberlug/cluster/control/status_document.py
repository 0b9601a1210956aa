"""The status of the deployment, as operators get it from one control-plane node. No I/O.

Names of JSON fields are read by operators' tools, so some of them are those of earlier versions: `told` is a
node's own report, `core` the control plane, and `edition` the version of the configuration.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import TypeAlias

from amberlug.cluster.consensus.membership import Members
from amberlug.cluster.control.published_state import ENDPOINT_KEY_PREFIX
from amberlug.cluster.control.sessions import Session
from amberlug.cluster.control.state_entries import StoreEntry
from amberlug.cluster.interfaces import Json
from amberlug.cluster.node_status import NodeStatusReport
from amberlug.cluster.values import value

Reports: TypeAlias = Mapping[str, NodeStatusReport | None]
"""By node, its own report; None where it did not reply in time."""


@value
class SessionStatus:
    """A member of the deployment, and its own report where it replied in time."""

    session: Session
    report: NodeStatusReport | None

    def to_json(self, now_s: float) -> Json:
        """The member's row at a time of the monotonic clock."""
        node = self.session.node
        return {
            "name": node.name,
            "incarnation": node.incarnation,
            "class": node.machine_class,
            "zone": node.zone,
            "region": node.region,
            "state": node.state,
            "address": node.address,
            "for_s": round(now_s - self.session.opened_at_s, 1),
            "silent_s": round(now_s - self.session.last_heartbeat_at_s, 2),
            "told": _report_to_json(self.report),
        }


@value
class ConsensusStatus:
    """The Raft group as the reporting node sees it."""

    term: int
    leader_id: str
    commit_index: int
    members: Members
    reports: Reports

    def to_json(self) -> Json:
        """The members as the membership has them, each with the member's own report."""
        return {
            "term": self.term,
            "leader": self.leader_id,
            "commit": self.commit_index,
            "members": [
                {"id": member_id, **member.to_wire(), "told": _report_to_json(self.reports.get(member_id))}
                for member_id, member in sorted(self.members.items())
            ],
        }


@value
class ShardStatus:
    """How many shards each owner has.

    :param table_index: log index of the shard table.
    :param shard_counts: by the owner's incarnation; by the empty string, shards without an owner.
    """

    table_index: int
    shard_counts: Counter[str]

    def to_json(self) -> Json:
        """The owners by name."""
        counts = self.shard_counts
        return {
            "at": self.table_index,
            "owners": {owner: counts[owner] for owner in sorted(counts) if owner},
            "nobody": counts[""],
        }


@value
class StoreStatus:
    """A disk on the roster, and whether its storage node has a session with it."""

    entry: StoreEntry
    has_session: bool

    def to_json(self) -> Json:
        """The roster's entry, and the session."""
        return {**self.entry.to_wire(), "session": self.has_session}


@value
class EndpointStatus:
    """An endpoint's entry in gossip; fields of other versions are passed on."""

    name: str
    entry: Json

    @classmethod
    def from_gossip(cls, key: str, entry: Json) -> EndpointStatus:
        """The status of an entry of gossip by its key."""
        return cls(key.removeprefix(ENDPOINT_KEY_PREFIX), entry)

    def to_json(self) -> Json:
        """The name and the entry."""
        return {"id": self.name, **self.entry}


@value
class ClusterStatus:
    """The status of the whole deployment.

    :param reported_by: the control-plane node that reports it.
    :param reported_at_s: time of that node's monotonic clock.
    :param is_confirmed: whether a majority confirmed the commit index meanwhile.
    :param sessions: by class and name.
    :param stores: the disks of the roster, by name of their nodes.
    :param config_index: log index of the configuration in force.
    :param counters: sums of all nodes' counters.
    """

    reported_by: str
    reported_at_s: float
    is_confirmed: bool
    sessions: Sequence[SessionStatus]
    consensus: ConsensusStatus
    shards: ShardStatus
    stores: Mapping[str, StoreStatus]
    config_version: int
    config_index: int
    endpoints: Sequence[EndpointStatus]
    counters: Mapping[str, int]

    @property
    def edges(self) -> Sequence[SessionStatus]:
        """The edge nodes that have a session."""
        return [status for status in self.sessions if status.session.is_edge]

    def to_json(self) -> Json:
        """The document that operators get."""
        edge_reports = [edge.report for edge in self.edges if edge.report is not None]
        rows = [status.to_json(self.reported_at_s) for status in self.sessions]
        endpoints = [endpoint.to_json() for endpoint in self.endpoints]
        return {
            "by": self.reported_by,
            "confirmed": self.is_confirmed,
            "members": rows,
            "core": self.consensus.to_json(),
            "shards": self.shards.to_json(),
            "stores": {disk: store.to_json() for disk, store in self.stores.items()},
            "configuration": self._config_to_json(),
            "endpoints": sorted(endpoints, key=lambda row: (row["service"], row["cond"], row["id"])),
            "copies_short": sum(report.under_replicated_messages for report in edge_reports),
            "copies_unknown": len(self.edges) - len(edge_reports),
            "counters": dict(sorted(self.counters.items())),
        }

    def _config_to_json(self) -> Json:
        """The version in force by the log, and the one in force on each edge node."""
        return {
            "edition": self.config_version,
            "at": self.config_index,
            "edges": {
                edge.session.name: edge.report.config_version if edge.report is not None else None
                for edge in self.edges
            },
        }


def _report_to_json(report: NodeStatusReport | None) -> Json | None:
    return None if report is None else report.to_wire()
