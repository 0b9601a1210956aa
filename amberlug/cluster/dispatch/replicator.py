"""Replicates messages and their outcomes to storage nodes on behalf of a shard owner. No I/O.

A write quorum is defined over failure domains: it is a set of disks in state `FULL` of which at least one
survives the loss of any tolerated number of machines, zones or regions.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Set
from typing import NamedTuple

from result import Ok, Result

from amberlug.cluster.control.published_state import StorageRoster
from amberlug.cluster.control.state_entries import StoreEntry, StoreState
from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.dispatch.outcome_delivery import OnDurable, OutcomeDelivery
from amberlug.cluster.dispatch.replica_write import ReplicationOutcome, ReplicaWrite
from amberlug.cluster.dispatch.store_health import PROBE_INTERVAL_S, SUSPECT_DISCONNECTED_S, StoreHealth
from amberlug.cluster.interfaces import RequestFailure, Runtime
from amberlug.cluster.rpc.messages import request
from amberlug.cluster.settings import Tolerance
from amberlug.cluster.storage.messages import Acknowledgement, AcknowledgeReply, AcknowledgeRequest
from amberlug.cluster.storage.outcomes import MessageOutcome

PROBE_TIMEOUT_S = 0.5


class _PlacementRank(NamedTuple):
    """Sort key of a disk for replica placement; False sorts before True, in field order."""

    is_suspect: bool
    is_in_other_zone: bool
    is_in_other_region: bool


class Replicator:
    """Places replicas and outcomes on the roster's storage nodes, which are identified by disk id.

    :param zone: the zone of this edge; its storage nodes are preferred, then those of the region.
    :param outcome_retention_s: seconds for which the outcome of a message is kept.
    """

    def __init__(
        self, runtime: Runtime, tolerance: Tolerance, zone: str, region: str, outcome_retention_s: float
    ) -> None:
        self.runtime, self.tolerance = runtime, tolerance
        self._zone, self._region = zone, region
        self._outcome_retention_s = outcome_retention_s
        self.stores: Mapping[str, StoreEntry] = {}  # the roster, by disk
        self.roster_index = 0  # log index of the roster; 0 if none is known
        self.health = StoreHealth(runtime)
        self._outcomes = OutcomeDelivery(runtime, self.health, self)

    def update_roster(self, roster: StorageRoster) -> None:
        """Apply a newer roster."""
        self.stores, self.roster_index = roster.stores, roster.index
        self.health.forget_except(self.stores)
        self._outcomes.roster_changed(self.stores)

    def address_of(self, disk: str) -> str | None:
        """The address of a disk, or None if it is not on the roster."""
        return self.stores[disk].address if disk in self.stores else None

    @property
    def writable_disks(self) -> list[str]:
        """The disks in state `FULL`, which accept replicas."""
        return [disk for disk, store in self.stores.items() if store.state is StoreState.FULL]

    @property
    def readable_disks(self) -> list[str]:
        """The disks that are not known to be lost."""
        return [disk for disk, store in self.stores.items() if store.state is not StoreState.LOST]

    # -- quorums

    def is_quorum(self, disks: Set[str]) -> bool:
        """Whether replicas on these disks, in any state on the roster, survive the tolerated losses."""
        members = [self.stores[disk] for disk in disks if disk in self.stores]
        # Disks of the same machine fail together, so they count once.
        domains = {member.name: (member.zone, member.region) for member in members}
        return self.tolerance.holds(list(domains.values()))

    def is_write_quorum(self, disks: Set[str]) -> bool:
        """Whether replicas on these disks survive the tolerated losses; only disks in state `FULL` count."""
        return self.is_quorum(
            {disk for disk in disks if disk in self.stores and self.stores[disk].state is StoreState.FULL}
        )

    def covers_all_messages(self, disks: Set[str]) -> bool:
        """Whether these disks are a read quorum.

        A read quorum holds at least one replica of every message that is on a write quorum.

        Read and write quorums intersect: the remaining disks are too few to form a quorum of their own.
        """
        return bool(disks & set(self.stores)) and not self.is_quorum(set(self.stores) - disks)

    # -- availability

    def check_unavailable(self) -> bool:
        """Whether too few storage nodes respond and have space, so that a write would only time out.

        Sends probes to unresponsive nodes, until the responsive disks form a write quorum, even while no
        message arrives.
        """
        writable = self.writable_disks
        unresponsive = {disk for disk in writable if self.health.is_unresponsive(disk)}
        without_space = {disk for disk in writable if self.health.is_full(disk)}
        if self.is_write_quorum(set(writable) - unresponsive - without_space):
            return False
        for disk in sorted(unresponsive):
            self._probe(disk)
        return True

    def _probe(self, disk: str) -> None:
        if not self.health.start_probe(disk):
            return
        sent_at = self.runtime.now()

        def on_reply(reply: Result[AcknowledgeReply, RequestFailure]) -> None:
            """Record the response if the disk acknowledged durably; else probe again after an interval."""
            if isinstance(reply, Ok) and reply.ok_value.durable:
                self.health.response_received(disk, sent_at)
            else:
                self.runtime.call_later(PROBE_INTERVAL_S, self._probe_again)

        request(self.runtime, self.stores[disk].address, AcknowledgeRequest(), PROBE_TIMEOUT_S, on_reply)

    def _probe_again(self) -> None:
        self.check_unavailable()

    def connection_lost(self, address: str) -> None:
        """Suspect the storage nodes at an address for a short time after its connection was lost."""
        for disk, store in self.stores.items():
            if store.address == address:
                self.health.suspect(disk, SUSPECT_DISCONNECTED_S)

    # -- replicas

    def preferred_disks(self, message: Message) -> list[str]:
        """The disks that accept replicas, in order of preference for this message.

        Disks that are not suspect come first; among these, disks in this zone, then in this region. Equally
        ranked disks are rotated by the message's shard and number.
        """
        return self._ranked_disks(message.shard + message.position[1])

    def _ranked_disks(self, turn: int) -> list[str]:
        disks = sorted(self.writable_disks)
        offset = turn % max(1, len(disks))
        return sorted(disks[offset:] + disks[:offset], key=self._placement_rank)

    def disks_to_add(self, disks: Set[str], turn: int) -> list[str]:
        """The disks to add to these for a write quorum; fewer if there are not enough.

        :param turn: rotates the choice among equally ranked disks.
        """
        return self._first_for_quorum(disks, self._ranked_disks(turn))

    def _first_for_quorum(self, disks: Set[str], candidates: list[str]) -> list[str]:
        """The leading candidates that complete a write quorum with `disks`; all if they are too few."""
        extended = set(disks)
        added: list[str] = []
        for disk in candidates:
            if self.is_write_quorum(extended):
                break
            if disk not in extended:
                added.append(disk)
                extended.add(disk)
        return added

    def _placement_rank(self, disk: str) -> _PlacementRank:
        store = self.stores[disk]
        return _PlacementRank(
            self.health.is_suspect(disk), store.zone != self._zone, store.region != self._region
        )

    def replicate(
        self, message: Message, epoch: int, on_complete: Callable[[ReplicationOutcome], None]
    ) -> None:
        """Write replicas of a message until enough are durable, counting existing ones.

        :param epoch: the fencing token of the shard's owner.
        :param on_complete: called once with the outcome. For a message that ended under an earlier owner it
            is `REPLICATED`, and the message's `outcome` is set.
        """
        ReplicaWrite(self, message, epoch, self.preferred_disks(message), on_complete).begin()

    # -- outcomes

    def record_outcome(
        self, message: Message, outcome: MessageOutcome, on_durable: OnDurable | None = None
    ) -> None:
        """Record on the storage nodes how a message ended.

        All disks that may have a replica, except lost ones, are notified, so that none reports the message as
        open later, and further ones if needed for the outcome to survive the tolerated losses.

        :param on_durable: called once the outcome is on enough disks.
        """
        message.outcome = outcome
        retain_until = max(self.default_retain_until(), message.keep_until)
        acknowledgement = Acknowledgement(message.id, message.shard, outcome, round(retain_until, 3))
        to_notify = [
            disk
            for disk in sorted(message.holders | message.possible_holders)
            if disk in self.stores and self.stores[disk].state is not StoreState.LOST
        ]
        self._outcomes.deliver(acknowledgement, to_notify, on_durable=on_durable)

    def restore_outcome(
        self,
        acknowledgement: Acknowledgement,
        holders: Set[str],
        on_durable: OnDurable,
        responsive: Set[str] = frozenset(),
    ) -> None:
        """Record on further disks an outcome that too few disks have.

        :param holders: the disks on which it is durable.
        :param on_durable: called once the outcome is on enough disks.
        :param responsive: disks that have just responded and are therefore preferred.
        """
        to_notify = self._first_for_quorum(holders, sorted(responsive & set(self.writable_disks)))
        self._outcomes.deliver(acknowledgement, to_notify, holders, on_durable)

    def default_retain_until(self) -> float:
        """The end of the retention time of an outcome recorded now, in wall-clock seconds."""
        return self.runtime.wall_clock() + self._outcome_retention_s

    def is_outcome_unconfirmed(self, message_id: str) -> bool:
        """Whether a message's outcome was recorded here and is not on enough disks yet."""
        return self._outcomes.is_unconfirmed(message_id)

    def unacknowledged_outcomes(self) -> dict[str, Acknowledgement]:
        """The outcomes that some storage node has not acknowledged, by message."""
        return self._outcomes.pending()

    @property
    def pending_outcomes(self) -> int:
        """0 if every outcome is on enough disks and none is pending at a disk that is not suspect.

        Otherwise the larger of the number of outcomes on too few disks and that of outcomes pending at such
        disks, counted per disk.
        """
        return max(self._outcomes.unconfirmed_count, self._outcomes.count_at_responsive())
