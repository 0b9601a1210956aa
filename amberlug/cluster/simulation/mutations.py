"""Mutations of the program, each of which the simulation must detect."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from contextlib import AbstractContextManager, contextmanager, nullcontext
from typing import Any
from unittest.mock import patch

from result import Ok, Result

from amberlug.cluster.consensus.persistent_state import PersistentState
from amberlug.cluster.consensus.raft import RaftNode
from amberlug.cluster.consensus.replication import Replication
from amberlug.cluster.consensus.rollback_guard import RollbackGuard
from amberlug.cluster.control.commands import UpdateRoster
from amberlug.cluster.control.endpoint_api import EndpointApi
from amberlug.cluster.control.endpoint_registry import EndpointAnnouncement
from amberlug.cluster.control.initial_state import founding_members
from amberlug.cluster.control.reconciler import LeaderTask, Reconciler
from amberlug.cluster.control.sessions import Session
from amberlug.cluster.control.state_entries import DepartureRank, StoreState
from amberlug.cluster.dispatch.message import Message, SequencePosition
from amberlug.cluster.dispatch.messages import AdmissionOutcome
from amberlug.cluster.dispatch.replica_write import ReplicationOutcome, ReplicaWrite
from amberlug.cluster.dispatch.shard_owner import ShardOwner
from amberlug.cluster.dispatch.shard_recovery import ShardRecovery
from amberlug.cluster.edge.delivery import MessageDelivery
from amberlug.cluster.edge.dispatchers import ServiceDispatchers
from amberlug.cluster.edge.forwarding import _Submission
from amberlug.cluster.edge.lookup import MessageLookup
from amberlug.cluster.edge.node import EdgeNode
from amberlug.cluster.gossip.store import GossipStore
from amberlug.cluster.http.api import HttpResponse, RespondHttp
from amberlug.cluster.http.routing import RoutingTable
from amberlug.cluster.interfaces import CallResult, RequestFailure
from amberlug.cluster.settings import Settings
from amberlug.cluster.simulation import (
    mutations_addresses,
    mutations_answers,
    mutations_frames,
    mutations_handover,
    mutations_losses,
    mutations_outcomes,
    mutations_partitions,
    mutations_queue,
    mutations_routes,
    mutations_voters,
)
from amberlug.cluster.storage.messages import ReplicaWriteReply, ReplicaWriteResult
from amberlug.cluster.storage.outcomes import MessageOutcome
from amberlug.cluster.storage.records import StoredContents

Mutant = Callable[[], AbstractContextManager[Any]]


def _first_sync() -> AbstractContextManager[Any]:
    """A message is accepted with 202 after a single synced copy."""
    on_reply = ReplicaWrite.on_reply

    def first(self: ReplicaWrite, disk: str, reply: Result[ReplicaWriteReply, RequestFailure]) -> None:
        """Complete the write as replicated when the first storage node has stored it."""
        if isinstance(reply, Ok) and reply.ok_value.result is ReplicaWriteResult.STORED:
            self.message.holders.add(disk)
            self.complete(ReplicationOutcome.REPLICATED)
        else:
            on_reply(self, disk, reply)

    return patch.object(ReplicaWrite, "on_reply", first)


def _old_vote() -> AbstractContextManager[Any]:
    """A wiped voter returns with its old member id, and is not told that it has lost entries."""

    def blank(settings: Settings, rng: Callable[[int], int]) -> PersistentState:
        """Create the state of an empty disk with a member id that is the same after each wipe."""
        return PersistentState(f"{settings.ip}/0", members=founding_members(settings))

    untold = patch.object(RollbackGuard, "has_lost_entries", lambda self, acknowledged: False)
    return _both(patch("amberlug.cluster.simulation.machine.blank", blank), untold)


def _no_fence() -> AbstractContextManager[Any]:
    """Storage nodes accept writes of former shard owners."""
    return patch.object(StoredContents, "is_fenced", lambda self, shard, epoch: False)


def _drain_alone() -> AbstractContextManager[Any]:
    """A control-plane node acknowledges a drain without replicating it."""

    def depart(
        self: EndpointApi,
        name: str,
        departure: DepartureRank,
        announcement: EndpointAnnouncement | None,
        respond: RespondHttp,
    ) -> None:
        """Record the departure in the registry of this node alone, and respond with 200."""
        self.registry.depart(name, departure, announcement)
        respond(HttpResponse(200, {}))

    return patch.object(EndpointApi, "depart", depart)


def _config_back() -> AbstractContextManager[Any]:
    """An edge node applies any configuration that it receives, including older ones."""
    offer, apply_routes = GossipStore.offer, EdgeNode.apply_routes

    def any_offer(self: GossipStore, key: str, version: list[int], value: Any) -> bool:
        """Apply a configuration even if it is older than the known one."""
        known = self.items.get(key)
        if key == "config" and known is not None and known.version > version:
            self._on_update(key, value)
            return False
        return offer(self, key, version, value)

    def any_config(self: EdgeNode, routes: Any) -> None:
        """Discard the current routes first, so that the check against older versions passes."""
        self._context.routes = RoutingTable()
        apply_routes(self, routes)

    return _both(
        patch.object(GossipStore, "offer", any_offer), patch.object(EdgeNode, "apply_routes", any_config)
    )


@contextmanager
def _both(*those: AbstractContextManager[Any]) -> Iterator[None]:
    with those[0], those[1]:
        yield


def _order_lost() -> AbstractContextManager[Any]:
    """A new shard owner orders messages by their names."""
    recovered = ShardOwner.recovered

    def by_name(self: ShardOwner, recovery: ShardRecovery) -> None:
        """Replace the recovered sequence positions by the order of the message names."""
        found = recovery.open_messages
        for number, name in enumerate(sorted(found, key=lambda it: it.partition("-")[2])):
            found[name].position = SequencePosition(0, number)
        recovered(self, recovery)

    return patch.object(ShardOwner, "recovered", by_name)


def _unclear_refused() -> AbstractContextManager[Any]:
    """A submission whose outcome is unknown is answered with 503."""
    finish = _Submission._finish

    def reject(self: _Submission, outcome: AdmissionOutcome) -> None:
        """Finish a submission of unknown outcome as rejected."""
        finish(self, AdmissionOutcome.REJECTED if outcome is AdmissionOutcome.OUTCOME_UNKNOWN else outcome)

    return patch.object(_Submission, "_finish", reject)


def _forgotten_end() -> AbstractContextManager[Any]:
    """A former shard owner does not report the results of calls that were in flight at the handover."""
    call_finished = MessageDelivery._call_finished

    def forget(self: MessageDelivery, message: Message, result: CallResult) -> None:
        """Discard the result of a call whose shard has been released."""
        if message in self._in_flight_of_released_shards:
            self._in_flight_of_released_shards.discard(message)
        else:
            call_finished(self, message, result)

    return patch.object(MessageDelivery, "_call_finished", forget)


def _failed_early() -> AbstractContextManager[Any]:
    """A status query is answered `failed` while the message is pending."""
    local_outcome = MessageLookup.local_outcome

    def failed(self: MessageLookup, message_id: str) -> MessageOutcome | None:
        """Report a message as dead after its first failed attempt."""
        message = self._delivery.queue.messages.get(message_id)
        if message is not None and message.failures:
            return MessageOutcome("dead")
        return local_outcome(self, message_id)

    return patch.object(MessageLookup, "local_outcome", failed)


def _rate_alone() -> AbstractContextManager[Any]:
    """Each edge node uses the whole rate limit of a service."""

    def use_all(self: ServiceDispatchers, share: float) -> None:
        """Set the rate of each service to its whole limit, whatever the share of this node."""
        self._rate_share = share
        for name, destination in self._context.routes.services.items():
            if name in self.by_service:
                self.by_service[name].set_rate(destination.rate, 1.0)

    return patch.object(ServiceDispatchers, "_set_rate_share", use_all)


def _older_term() -> AbstractContextManager[Any]:
    """Entries of an older term are committed by counting replicas."""

    def advance(self: Replication) -> None:
        """Commit what a majority of voters has, without comparing its term with the current one."""
        raft = self.raft
        matched = self.match_indexes()
        indexes = sorted((matched.get(name, 0) for name in raft.members.voters), reverse=True)
        if indexes and indexes[len(indexes) // 2] > raft.commit_index:
            raft.commit_to(indexes[len(indexes) // 2])
            self.send_to_all()

    return patch.object(Replication, "advance_commit_index", advance)


def _removed_counts() -> AbstractContextManager[Any]:
    """A removed voter still counts as agreeing until the log is compacted."""

    def majority(self: RaftNode, names: set[str]) -> bool:
        """Count members of the last snapshot that were removed since as agreeing."""
        voters = self.members.voters
        gone = [name for name in self.log.snapshot_members if name not in self.members]
        return 2 * (sum(1 for it in voters if it in names) + len(gone)) > len(voters)

    return patch.object(RaftNode, "has_majority", majority)


def _dropped_early() -> AbstractContextManager[Any]:
    """A lost disk is dropped before the shard owners report that they no longer need it."""

    def drop(self: Reconciler, edges: dict[str, Session]) -> None:
        """Drop every retiring or lost disk, without waiting for the shard owners."""
        roster = self.cluster_state.roster
        leaving = [disk for disk, store in roster.items() if store.state is not StoreState.FULL]
        if leaving:
            self.propose(LeaderTask.DROP_DISKS, UpdateRoster(dropped=tuple(leaving)))

    return patch.object(Reconciler, "drop_replaced_disks", drop)


# By name: the mutation, and the scenario family in which it is looked for.
MUTANTS: Mapping[str, tuple[Mutant, str]] = {
    "first-sync": (_first_sync, "closing"),
    "old-vote": (_old_vote, "core"),
    "no-fence": (_no_fence, "freeze"),
    "drain-alone": (_drain_alone, "drain"),
    "config-back": (_config_back, "config"),
    "order-lost": (_order_lost, "edges"),
    "unclear-refused": (_unclear_refused, "edges"),
    "forgotten-end": (_forgotten_end, "roll"),
    "failed-early": (_failed_early, "quiet"),
    "rate-alone": (_rate_alone, "rate"),
    "dropped-early": (_dropped_early, "storage"),
    "removed-counts": (_removed_counts, "storage"),
    "older-term": (_older_term, "core"),
    **mutations_voters.FAULTS,
    **mutations_frames.FAULTS,
    **mutations_partitions.FAULTS,
    **mutations_losses.FAULTS,
    **mutations_answers.FAULTS,
    **mutations_outcomes.FAULTS,
    **mutations_routes.FAULTS,
    **mutations_handover.FAULTS,
    **mutations_addresses.FAULTS,
    **mutations_queue.FAULTS,
}


def mutated(name: str) -> AbstractContextManager[Any]:
    """Apply a mutation while the context lasts; none if the name is empty."""
    return MUTANTS[name][0]() if name else nullcontext()
