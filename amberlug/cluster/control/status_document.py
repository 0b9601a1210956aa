"""The status document of the deployment, which operators get from one control-plane node. No I/O.

Operators' tools read the JSON fields, so some names are those of earlier versions: `told` is a node's own
report, `core` is the control plane, and `edition` is the version of the configuration.
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
"""The report of each node; None if it did not reply in time."""


@value
class SessionStatus:
    """A member of the deployment, and its own report if it replied in time."""

    session: Session
    report: NodeStatusReport | None

    def to_json(self, now_s: float) -> Json:
        """Return the member's row; `now_s` is a time of the monotonic clock."""
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
    """The Raft group as seen by the reporting node."""

    term: int
    leader_id: str
    commit_index: int
    members: Members
    reports: Reports

    def to_json(self) -> Json:
        """Return the state of the group, with each member's entry in the membership and its own report."""
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
    """The number of shards of each owner.

    :param table_index: log index of the shard table.
    :param shard_counts: by the owner's incarnation; the empty string counts shards without an owner.
    """

    table_index: int
    shard_counts: Counter[str]

    def to_json(self) -> Json:
        """Return the owners sorted by name, and the number of shards without an owner."""
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
        """Return the roster entry, and whether there is a session."""
        return {**self.entry.to_wire(), "session": self.has_session}


@value
class EndpointStatus:
    """An endpoint's gossip entry; fields of other versions are passed on."""

    name: str
    entry: Json

    @classmethod
    def from_gossip(cls, key: str, entry: Json) -> EndpointStatus:
        """Return the status of a gossip entry by its key."""
        return cls(key.removeprefix(ENDPOINT_KEY_PREFIX), entry)

    def to_json(self) -> Json:
        """Return the entry with the name of the endpoint."""
        return {"id": self.name, **self.entry}


@value
class ClusterStatus:
    """The status of the whole deployment.

    :param reported_by: the control-plane node that reports it.
    :param reported_at_s: time of that node's monotonic clock.
    :param is_confirmed: whether a majority confirmed the commit index while the status was collected.
    :param sessions: sorted by class and name.
    :param stores: the disks of the roster, sorted by name of their nodes.
    :param config_index: log index of the configuration in force.
    :param counters: sums of the counters of all nodes.
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
        """Return the document sent to operators."""
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
        """Return the version in force according to the log, and the one in force on each edge node."""
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
