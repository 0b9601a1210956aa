"""The leader's singleton roles: it reconciles voters, the roster of storage nodes and the owners of shards.

Each role compares the replicated state with the sessions that stand, and proposes one command at a time.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from absl import logging

from amberlug.cluster.consensus.raft import Role
from amberlug.cluster.control.commands import AssignShards, UpdateRoster
from amberlug.cluster.control.context import ControlContext
from amberlug.cluster.control.membership import Membership
from amberlug.cluster.control.session_attributes import EdgeAttributes, StorageAttributes
from amberlug.cluster.control.sessions import Session
from amberlug.cluster.control.shard_assignment import SHARDS, assign_shards
from amberlug.cluster.control.state_entries import OwnerEntry, Retirement, Roster, StoreEntry, StoreState

RECONCILE_INTERVAL_S = 0.1
SETTLING_S = 1.5  # a new leader waits so long for reports of sessions before it takes anyone for gone
OWNER_TIMEOUT_S = 0.15  # without a session until an owner's shards are assigned to others
STORE_TIMEOUT_S = 1.5  # without a session until a disk is lost, and its replicas are made anew elsewhere
GATHERING_S = 0.4  # without a new edge node until those that have come are assigned shards together
STORAGE_CLASS, EDGE_CLASS = "storage", "edge"
# Roles of which each has at most one command in flight.
_ROSTER, _DROP, _ASSIGN = "roster", "drop", "assign"


class Reconciler:
    """What a control-plane node does while it leads."""

    def __init__(self, context: ControlContext, membership: Membership) -> None:
        self._runtime, self._raft, self._settings = context.runtime, context.raft, context.settings
        self._sessions, self._membership = context.sessions, membership
        self.cluster_state = context.cluster_state
        self._in_flight: set[str] = set()
        self._first_seen_s: dict[str, float] = {}  # when the leader first saw each incarnation's session
        self._owner_missing_since_s: dict[str, float] = {}
        self._disk_missing_since_s: dict[str, float] = {}
        self._absent_disks: set[str] = set()  # disks on the roster whose storage nodes have no session

    def begin(self) -> None:
        """Reconcile now and in each interval, while this node leads and has committed in its term."""
        self._runtime.call_later(RECONCILE_INTERVAL_S, self.begin)
        if (
            self._raft.role is not Role.LEADER
            or self._raft.term_at(self._raft.commit_index) != self._raft.term
        ):
            self._owner_missing_since_s.clear()
            self._disk_missing_since_s.clear()
            self._first_seen_s.clear()
            return
        self._membership.adjust_voters()
        now_s = self._runtime.now()
        members = self._sessions.members(now_s).values()
        for session in members:
            self._first_seen_s.setdefault(session.id, now_s)
        stores = {session.name: session for session in members if session.machine_class == STORAGE_CLASS}
        edges = {session.id: session for session in members if session.machine_class == EDGE_CLASS}
        self.update_roster(stores, now_s)
        self.drop_replaced_disks(edges)
        self.reassign_shards(edges, now_s)

    def can_hold_messages(self, roster: Roster) -> bool:
        """Whether messages can have the replicas that they need on the full disks of a roster."""
        domains = {
            store.name: (store.zone, store.region)
            for store in roster.values()
            if store.state is StoreState.FULL
        }
        return self._settings().tolerance.holds(list(domains.values()))

    def propose(self, role: str, command: UpdateRoster | AssignShards) -> None:
        """Propose a role's command, where none of this role is in flight."""
        if role in self._in_flight:
            return
        self._in_flight.add(role)
        self._raft.propose(command.to_wire(), lambda result: self._in_flight.discard(role))

    def _has_settled(self, now_s: float) -> bool:
        return now_s - self._raft.leader_since > SETTLING_S

    # -- the roster of storage nodes

    def update_roster(self, stores: Mapping[str, Session], now_s: float) -> None:
        """Enter disks that come, and mark those that are lost, so that their replicas are made anew.

        :param stores: sessions of storage nodes, by name.
        """
        changes: dict[str, StoreEntry] = {}
        for session in stores.values():
            changes.update(self._entries_for(session))
        changes.update(self._lost_disks(stores, now_s))
        if changes:
            logging.info("roster: %s", {store.name: store.state.value for store in changes.values()})
            self.propose(_ROSTER, UpdateRoster(changes))

    def _entries_for(self, session: Session) -> dict[str, StoreEntry]:
        """What a storage node's session changes on the roster."""
        roster, retirement = self.cluster_state.roster, self.cluster_state.retirements.get(session.name)
        attributes = StorageAttributes.from_wire(session.details)
        disk = attributes.disk_id
        known = roster.get(disk)
        is_retired = retirement == Retirement.COMPLETED.value
        if known is None and (attributes.is_enrolled or is_retired):
            return {}  # its disk was dropped or emptied before: it has to come with another one
        # A node that lost its disk while it was emptied comes back as one that is still to be emptied.
        is_retiring = retirement == Retirement.IN_PROGRESS.value
        state = StoreState.RETIRING if is_retiring else StoreState.FULL
        entry = StoreEntry(session.name, session.address, session.zone, session.region, state)
        changes: dict[str, StoreEntry] = {}
        if known is None or not known.is_same_node(entry) or known.state is not state:
            changes[disk] = entry
        for other_disk, store in roster.items():
            is_replaced = store.name == session.name and other_disk != disk
            if is_replaced and store.state is not StoreState.LOST:
                changes[other_disk] = store.with_state(StoreState.LOST)
        return changes

    def _lost_disks(self, stores: Mapping[str, Session], now_s: float) -> dict[str, StoreEntry]:
        """Full disks whose storage nodes have had no session for too long."""
        roster = self.cluster_state.roster
        absent = {disk: store for disk, store in roster.items() if store.name not in stores}
        present = {disk: store for disk, store in roster.items() if disk not in absent}
        self._absent_disks = set(absent)
        for disk in present:
            self._disk_missing_since_s.pop(disk, None)
        # A leader that is partitioned from other control-plane nodes sees none of their sessions. More disks
        # can't be lost than are tolerated: with more of them absent, it is the leader that is cut off.
        if not self._has_settled(now_s) or not self.can_hold_messages(present):
            return {}
        return {
            disk: store.with_state(StoreState.LOST)
            for disk, store in absent.items()
            if store.state is StoreState.FULL
            and now_s - self._disk_missing_since_s.setdefault(disk, now_s) > STORE_TIMEOUT_S
        }

    def drop_replaced_disks(self, edges: Mapping[str, Session]) -> None:
        """Drop disks from the roster once every owner has enough replicas without them.

        :param edges: sessions of edge nodes, by incarnation.
        """
        state = self.cluster_state
        leaving = {disk: store for disk, store in state.roster.items() if store.state is not StoreState.FULL}
        owners = {shard.owner for shard in state.shards}
        if not leaving or not owners or not owners <= set(edges):
            return
        if not self.can_hold_messages(state.roster):
            return  # no owner reports a shortage only because nothing can be replicated
        if any(state.roster[disk].state is StoreState.FULL for disk in self._known_absent_disks()):
            return  # its replicas count, and may be lost: it comes back soon, or they are made anew
        progress = [EdgeAttributes.from_wire(edges[owner].details) for owner in sorted(owners)]
        if any(edge.shard_table_index != state.shards_index or not edge.is_complete for edge in progress):
            return
        roster_index = min(edge.roster_index for edge in progress)
        dropped = [
            disk
            for disk, store in leaving.items()
            if store.state_index is not None and store.state_index <= roster_index
        ]
        if dropped:
            names = [leaving[disk].name for disk in dropped]
            logging.info("roster: %s have no replica that is needed any more", names)
            self.propose(_DROP, UpdateRoster(dropped=tuple(dropped)))

    def _known_absent_disks(self) -> list[str]:
        return [disk for disk in self.cluster_state.roster if disk in self._absent_disks]

    # -- owners of shards

    def reassign_shards(self, edges: Mapping[str, Session], now_s: float) -> None:
        """Assign shards to edge nodes that have come, and away from those that are gone.

        :param edges: sessions of edge nodes, by incarnation.
        """
        live = [name for name, session in edges.items() if session.is_up]
        if not live or _ASSIGN in self._in_flight:
            return
        current = [shard.owner for shard in self.cluster_state.shards]
        owners = sorted(set(current))
        departed = self._departed_owners(owners, edges, now_s)
        if not departed and not self._has_gathered(live, owners, now_s):
            return
        retained = [name for name in owners if name and name not in departed and name not in live]
        assignments = assign_shards(current, live, len(current) or SHARDS, retained)
        assignments = {name: numbers for name, numbers in assignments.items() if numbers}
        if not assignments:
            return
        logging.info("shards assigned: %s", {name: len(numbers) for name, numbers in assignments.items()})
        entries = self._owner_entries(owners, departed, edges)
        self.propose(_ASSIGN, AssignShards(entries, assignments))

    def _departed_owners(
        self, owners: Sequence[str], edges: Mapping[str, Session], now_s: float
    ) -> list[str]:
        """Owners that leave, were started anew, or have had no session for too long."""
        names = {session.name for session in edges.values()}
        departed = []
        for owner in owners:
            if owner in edges:
                self._owner_missing_since_s.pop(owner, None)
                if not edges[owner].is_up:
                    departed.append(owner)
            elif owner:
                missing_s = now_s - self._owner_missing_since_s.setdefault(owner, now_s)
                # A node that runs again has no earlier incarnation any more.
                is_restarted = owner.rpartition("/")[0] in names
                if is_restarted or (missing_s >= OWNER_TIMEOUT_S and self._has_settled(now_s)):
                    departed.append(owner)
        return departed

    def _has_gathered(self, live: Sequence[str], owners: Sequence[str], now_s: float) -> bool:
        """Whether edge nodes without shards have come, and no further one of late."""
        joined = [name for name in live if name not in owners]
        newest_s = max((self._first_seen_s[name] for name in joined), default=0.0)
        if not owners:
            return now_s - newest_s >= GATHERING_S
        return bool(joined) and now_s - newest_s > GATHERING_S

    def _owner_entries(
        self, owners: Sequence[str], departed: Sequence[str], edges: Mapping[str, Session]
    ) -> dict[str, OwnerEntry]:
        known = self.cluster_state.owners
        entries = {name: known[name] for name in owners if name in known}
        for name, session in edges.items():
            entries[name] = OwnerEntry(session.name, session.address, session.zone, session.region)
        for name in departed:
            if name not in edges:
                entries.pop(name, None)
        return entries
