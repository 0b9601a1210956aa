"""The leader's reconciliation of voters, the roster of storage nodes and the owners of shards.

Each task compares the replicated state with the open sessions, and proposes one command at a time.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum

from absl import logging

from amberlug.cluster.consensus.raft import Role
from amberlug.cluster.control.commands import AssignShards, UpdateRoster
from amberlug.cluster.control.context import ControlContext
from amberlug.cluster.control.membership import MembershipService
from amberlug.cluster.control.session_attributes import EdgeAttributes, StorageAttributes
from amberlug.cluster.control.sessions import Session
from amberlug.cluster.control.shard_assignment import SHARD_COUNT, assign_shards
from amberlug.cluster.control.state_entries import OwnerEntry, Retirement, Roster, StoreEntry, StoreState

RECONCILE_INTERVAL_S = 0.1
# Time for a new leader to receive session reports before it treats missing sessions as lost members.
SETTLING_S = 1.5
OWNER_TIMEOUT_S = 0.15  # time without a session after which an owner's shards are assigned to others
# Time without a session after which a disk is marked lost and its messages are re-replicated.
STORE_TIMEOUT_S = 1.5
# Time without another new edge node after which the new ones are assigned shards together.
JOIN_BATCH_WAIT_S = 0.4


class LeaderTask(Enum):
    """Tasks of the leader, each with at most one command in flight."""

    UPDATE_DISKS = "enter disks"  # add disks to the roster, or change their state
    DROP_DISKS = "drop disks"
    ASSIGN_SHARDS = "assign shards"


class Reconciler:
    """Reconciles the replicated state with the open sessions while this node is the leader."""

    def __init__(self, context: ControlContext, membership: MembershipService) -> None:
        self._runtime, self._raft, self._settings = context.runtime, context.raft, context.settings
        self._sessions, self._membership = context.sessions, membership
        self.cluster_state = context.cluster_state
        self._in_flight: set[LeaderTask] = set()
        self._first_seen_s: dict[str, float] = {}  # when the leader first saw each incarnation's session
        self._owner_missing_since_s: dict[str, float] = {}
        self._disk_missing_since_s: dict[str, float] = {}
        self._absent_disks: set[str] = set()  # disks on the roster whose storage nodes have no session
        self._present_disks: set[str] = set()  # disks that storage nodes report with their sessions

    def begin(self) -> None:
        """Reconcile now and in each interval while this node leads and has committed an entry in its term."""
        self._runtime.call_later(RECONCILE_INTERVAL_S, self.begin)
        if self._is_established_leader():
            self._reconcile()
        else:
            self._owner_missing_since_s.clear()
            self._disk_missing_since_s.clear()
            self._first_seen_s.clear()

    def _is_established_leader(self) -> bool:
        """Whether this node leads, and its state includes everything that earlier leaders committed."""
        raft = self._raft
        return raft.role is Role.LEADER and raft.term_at(raft.commit_index) == raft.term

    def _reconcile(self) -> None:
        self._membership.adjust_voters()
        now_s = self._runtime.now()
        members = self._sessions.members(now_s).values()
        for session in members:
            self._first_seen_s.setdefault(session.id, now_s)
        stores = {session.name: session for session in members if session.is_storage}
        edges = {session.id: session for session in members if session.is_edge}
        self.update_roster(stores, now_s)
        self.drop_replaced_disks(edges)
        self.reassign_shards(edges, now_s)

    def can_hold_messages(self, roster: Roster) -> bool:
        """Whether the full disks of a roster suffice for the replicas that messages require."""
        domains = {
            store.name: (store.zone, store.region)
            for store in roster.values()
            if store.state is StoreState.FULL
        }
        return self._settings().tolerance.holds(list(domains.values()))

    def propose(self, task: LeaderTask, command: UpdateRoster | AssignShards) -> None:
        """Propose the command of a task, unless one of the same task is in flight."""
        if task in self._in_flight:
            return
        self._in_flight.add(task)
        self._raft.propose(command.to_wire(), lambda result: self._in_flight.discard(task))

    def _has_settled(self, now_s: float) -> bool:
        return now_s - self._raft.leader_since > SETTLING_S

    # -- the roster of storage nodes

    def update_roster(self, stores: Mapping[str, Session], now_s: float) -> None:
        """Add new disks, and mark lost ones, so that their messages are re-replicated.

        Also updates addresses and states, and restores disks that have returned.

        This is suspended while disks are being dropped: a dropped disk that returned would be added again
        after its drop, with messages that have ended in the meantime.

        :param stores: sessions of storage nodes, by name.
        """
        self._present_disks = {
            StorageAttributes.from_wire(session.details).disk_id for session in stores.values()
        }
        if LeaderTask.DROP_DISKS in self._in_flight:
            return
        changes: dict[str, StoreEntry] = {}
        for session in stores.values():
            changes.update(self._entries_for(session))
        changes.update(self._lost_disks(stores, now_s))
        if changes:
            logging.info("roster: %s", {store.name: store.state.value for store in changes.values()})
            self.propose(LeaderTask.UPDATE_DISKS, UpdateRoster(changes))

    def _entries_for(self, session: Session) -> dict[str, StoreEntry]:
        """Return the roster changes that a storage node's session requires."""
        roster, retirement = self.cluster_state.roster, self.cluster_state.retirements.get(session.name)
        attributes, node = StorageAttributes.from_wire(session.details), session.node
        disk, current = attributes.disk_id, roster.get(attributes.disk_id)
        if current is None and (attributes.is_enrolled or retirement is Retirement.COMPLETED):
            # Its disk was dropped, so it needs a new one; or the node was retired, and none of its disks is
            # added.
            return {}
        # A node that lost its disk during its retirement returns as one that is still to be retired.
        state = StoreState.RETIRING if retirement is Retirement.IN_PROGRESS else StoreState.FULL
        entry = StoreEntry(node.name, node.address, node.zone, node.region, state)
        is_unchanged = current is not None and current.is_same_node(entry) and current.state is state
        changes = {} if is_unchanged else {disk: entry}
        return changes | self._replaced_disks(session.name, disk)

    def _replaced_disks(self, name: str, current_disk: str) -> dict[str, StoreEntry]:
        """Return earlier disks of a storage node that now reports another one, marked as lost."""
        return {
            disk: store.with_state(StoreState.LOST)
            for disk, store in self.cluster_state.roster.items()
            if store.name == name and disk != current_disk and store.state is not StoreState.LOST
        }

    def _lost_disks(self, stores: Mapping[str, Session], now_s: float) -> dict[str, StoreEntry]:
        """Return full disks whose storage nodes have had no session for too long, marked as lost."""
        roster = self.cluster_state.roster
        absent = {disk: store for disk, store in roster.items() if store.name not in stores}
        with_session = {disk: store for disk, store in roster.items() if disk not in absent}
        self._absent_disks = set(absent)
        for disk in with_session:
            self._disk_missing_since_s.pop(disk, None)
        # A leader partitioned from other control-plane nodes sees none of their sessions. If the full disks
        # that are present do not suffice for the replicas that messages require, the leader is assumed to be
        # partitioned.
        if not self._has_settled(now_s) or not self.can_hold_messages(with_session):
            return {}
        return {
            disk: store.with_state(StoreState.LOST)
            for disk, store in absent.items()
            if store.state is StoreState.FULL
            and now_s - self._disk_missing_since_s.setdefault(disk, now_s) > STORE_TIMEOUT_S
        }

    def drop_replaced_disks(self, edges: Mapping[str, Session]) -> None:
        """Drop retiring and lost disks once every owner has enough replicas on the others.

        :param edges: sessions of edge nodes, by incarnation.
        """
        state = self.cluster_state
        leaving = {disk: store for disk, store in state.roster.items() if store.state is not StoreState.FULL}
        if not leaving or not self.can_hold_messages(state.roster):
            return  # owners may report no missing replicas just because nothing can be replicated
        if self._is_full_disk_absent():
            # Its replicas are counted but may be lost. Wait until it returns, or is marked lost and its
            # messages are re-replicated.
            return
        progress = self._owner_progress_reports(edges)
        if not progress:
            return
        if any(owner.shard_table_index != state.shards_index or not owner.is_complete for owner in progress):
            return
        roster_index = min(owner.roster_index for owner in progress)
        dropped = [
            disk
            for disk, store in leaving.items()
            if store.state_index is not None
            and store.state_index <= roster_index
            and not self._has_returned(disk, store)
        ]
        if dropped:
            names = [leaving[disk].name for disk in dropped]
            logging.info("roster: dropping disks of %s, whose replicas are no longer needed", names)
            self.propose(LeaderTask.DROP_DISKS, UpdateRoster(dropped=tuple(dropped)))

    def _has_returned(self, disk: str, store: StoreEntry) -> bool:
        """Whether a disk marked as lost is present again, and about to be restored instead of dropped."""
        return store.state is StoreState.LOST and disk in self._present_disks

    def _is_full_disk_absent(self) -> bool:
        """Whether any disk whose replicas count belongs to a storage node without a session."""
        roster = self.cluster_state.roster
        return any(
            disk in self._absent_disks for disk, store in roster.items() if store.state is StoreState.FULL
        )

    def _owner_progress_reports(self, edges: Mapping[str, Session]) -> Sequence[EdgeAttributes]:
        """Return the progress reports of all shard owners; empty if there is none or one has no session."""
        owners = {shard.owner for shard in self.cluster_state.shards}
        if not owners <= set(edges):
            return []
        return [EdgeAttributes.from_wire(edges[owner].details) for owner in sorted(owners)]

    # -- owners of shards

    def reassign_shards(self, edges: Mapping[str, Session], now_s: float) -> None:
        """Assign shards to new edge nodes, and reassign those of owners that are leaving, restarted or lost.

        :param edges: sessions of edge nodes, by incarnation.
        """
        live = [name for name, session in edges.items() if session.is_up]
        if not live or LeaderTask.ASSIGN_SHARDS in self._in_flight:
            return
        current = [shard.owner for shard in self.cluster_state.shards]
        owners = sorted(set(current))
        to_replace = self._owners_to_replace(owners, edges, now_s)
        if not to_replace and not self._is_join_batch_complete(live, owners, now_s):
            return
        retained = [name for name in owners if name and name not in to_replace and name not in live]
        assignments = assign_shards(current, live, len(current) or SHARD_COUNT, retained)
        assignments = {name: numbers for name, numbers in assignments.items() if numbers}
        if not assignments:
            return
        logging.info("shards assigned: %s", {name: len(numbers) for name, numbers in assignments.items()})
        entries = self._owner_entries(owners, to_replace, edges)
        self.propose(LeaderTask.ASSIGN_SHARDS, AssignShards(entries, assignments))

    def _owners_to_replace(
        self, owners: Sequence[str], edges: Mapping[str, Session], now_s: float
    ) -> list[str]:
        """Return owners that are leaving (with a session), have restarted, or lack a session for too long."""
        names = {session.name for session in edges.values()}
        to_replace = []
        for owner in owners:
            if owner in edges:
                self._owner_missing_since_s.pop(owner, None)
                if not edges[owner].is_up:
                    to_replace.append(owner)
            elif owner:
                missing_s = now_s - self._owner_missing_since_s.setdefault(owner, now_s)
                # The new incarnation of a node replaces all earlier ones.
                is_restarted = owner.rpartition("/")[0] in names
                if is_restarted or (missing_s >= OWNER_TIMEOUT_S and self._has_settled(now_s)):
                    to_replace.append(owner)
        return to_replace

    def _is_join_batch_complete(self, live: Sequence[str], owners: Sequence[str], now_s: float) -> bool:
        """Whether there are edge nodes without shards, and no further one has joined recently."""
        joined = [name for name in live if name not in owners]
        newest_s = max((self._first_seen_s[name] for name in joined), default=0.0)
        if not owners:
            return now_s - newest_s >= JOIN_BATCH_WAIT_S
        return bool(joined) and now_s - newest_s > JOIN_BATCH_WAIT_S

    def _owner_entries(
        self, owners: Sequence[str], to_replace: Sequence[str], edges: Mapping[str, Session]
    ) -> dict[str, OwnerEntry]:
        """Return the owners after the assignment: remaining ones, and all edge nodes with a session."""
        current = self.cluster_state.owners
        entries = {name: current[name] for name in owners if name in current}
        for name, session in edges.items():
            node = session.node
            entries[name] = OwnerEntry(node.name, node.address, node.zone, node.region)
        for name in to_replace:
            if name not in edges:
                entries.pop(name, None)
        return entries
