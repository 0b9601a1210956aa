"""Faults put into the program, each of which the jig must find."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from contextlib import AbstractContextManager, contextmanager, nullcontext
from typing import Any
from unittest.mock import patch

from result import Ok, Result

from amberlug.cluster.consensus.log import PersistentState
from amberlug.cluster.consensus.raft import RaftNode
from amberlug.cluster.consensus.rollback_guard import RollbackGuard
from amberlug.cluster.control.commands import UpdateRoster
from amberlug.cluster.control.endpoint_api import EndpointApi
from amberlug.cluster.control.endpoint_registry import EndpointAnnouncement
from amberlug.cluster.control.initial_state import founding_members
from amberlug.cluster.control.reconciler import Reconciler
from amberlug.cluster.control.sessions import Session
from amberlug.cluster.control.state_entries import DepartureRank, StoreState
from amberlug.cluster.dispatch import replicator
from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.dispatch.replicator import ReplicationOutcome
from amberlug.cluster.dispatch.shard_owner import AdmissionOutcome, ShardOwner
from amberlug.cluster.edge import node as edge_node
from amberlug.cluster.edge.node import EdgeNode
from amberlug.cluster.gossip.store import GossipStore
from amberlug.cluster.http.api import HttpResponse, RespondHttp
from amberlug.cluster.http.routing import RoutingTable
from amberlug.cluster.interfaces import CallResult, Reply, RequestFailure
from amberlug.cluster.settings import Settings
from amberlug.cluster.simulation import (
    mutations_answers,
    mutations_frames,
    mutations_losses,
    mutations_partitions,
    mutations_voters,
)
from amberlug.cluster.storage.node import StorageNode

Mutant = Callable[[], AbstractContextManager[Any]]


def _first_sync() -> AbstractContextManager[Any]:
    """202 before the second sync."""
    hear = replicator._ReplicaWrite._hear

    def first(self: replicator._ReplicaWrite, name: str, reply: Result[Reply, RequestFailure]) -> None:
        if isinstance(reply, Ok) and reply.ok_value.body.get("ok"):
            self.message.holders.add(name)
            self._end(ReplicationOutcome.REPLICATED)
        else:
            hear(self, name, reply)

    return patch.object(replicator._ReplicaWrite, "_hear", first)


def _old_vote() -> AbstractContextManager[Any]:
    """A wiped voter votes as its old self, and nobody tells it what it had."""

    def blank(settings: Settings, chance: Callable[[int], int]) -> PersistentState:
        return PersistentState(f"{settings.ip}/0", members=founding_members(settings))

    untold = patch.object(RollbackGuard, "short", lambda self, said: False)
    return _both(patch("amberlug.cluster.simulation.deployment.blank", blank), untold)


def _no_fence() -> AbstractContextManager[Any]:
    """A take-over without a fence."""
    return patch.object(StorageNode, "_fenced", lambda self, shard, epoch: False)


def _drain_alone() -> AbstractContextManager[Any]:
    """A drain acknowledged by one machine alone."""

    def depart(
        self: EndpointApi,
        name: str,
        departure: DepartureRank,
        announcement: EndpointAnnouncement | None,
        respond: RespondHttp,
    ) -> None:
        self.registry.depart(name, departure, announcement)
        respond(HttpResponse(200, {}))

    return patch.object(EndpointApi, "depart", depart)


def _config_back() -> AbstractContextManager[Any]:
    """An edge takes any configuration that it hears, also one that it had before."""
    offer, config_is = GossipStore.offer, EdgeNode._config_is

    def any_offer(self: GossipStore, key: str, version: list[int], value: Any) -> bool:
        known = self.items.get(key)
        if key == "config" and known is not None and known[0] > version:
            self._heard(key, value)
            return False
        return offer(self, key, version, value)

    def any_config(self: EdgeNode, routes: Any) -> None:
        self.routes = RoutingTable()
        config_is(self, routes)

    return _both(
        patch.object(GossipStore, "offer", any_offer), patch.object(EdgeNode, "_config_is", any_config)
    )


@contextmanager
def _both(*those: AbstractContextManager[Any]) -> Iterator[None]:
    with those[0], those[1]:
        yield


def _order_lost() -> AbstractContextManager[Any]:
    """A new owner has messages in the order of their names."""
    serve = ShardOwner._serve

    def by_name(self: ShardOwner, load: Any) -> None:
        for number, name in enumerate(sorted(load.found, key=lambda it: it.partition("-")[2])):
            load.found[name].order = (0, number)
        serve(self, load)

    return patch.object(ShardOwner, "_serve", by_name)


def _unclear_refused() -> AbstractContextManager[Any]:
    """A 503 after a write whose fate is open."""
    end = edge_node._Submission._end

    def refuse(self: edge_node._Submission, taken: AdmissionOutcome) -> None:
        end(self, AdmissionOutcome.REJECTED if taken is AdmissionOutcome.OUTCOME_UNKNOWN else taken)

    return patch.object(edge_node._Submission, "_end", refuse)


def _forgotten_end() -> AbstractContextManager[Any]:
    """Who gives a shard away forgets to tell what came of the calls that it still had out."""
    finished = EdgeNode._finished

    def forget(self: EdgeNode, message: Message, called: CallResult) -> None:
        if message in self._orphans:
            self._orphans.discard(message)
        else:
            finished(self, message, called)

    return patch.object(EdgeNode, "_finished", forget)


def _failed_early() -> AbstractContextManager[Any]:
    """A name is answered `failed` while its message is open."""
    mine = EdgeNode._mine

    def failed(self: EdgeNode, name: str) -> tuple[str, str] | None:
        message = self.delivery_queue.messages.get(name)
        return ("dead", "") if message is not None and message.failures else mine(self, name)

    return patch.object(EdgeNode, "_mine", failed)


def _rate_alone() -> AbstractContextManager[Any]:
    """Each edge spends the whole rate of a service."""

    def spend(self: EdgeNode, part: float) -> None:
        self._part = part
        for name, it in self.routes.services.items():
            if name in self.services:
                self.services[name].rate_is(it.rate, 1.0)

    return patch.object(EdgeNode, "_spend", spend)


def _older_term() -> AbstractContextManager[Any]:
    """What a majority has is committed, also where it is of an older term."""

    def count(self: RaftNode) -> None:
        matched = {name: it.match for name, it in self._peers.items()} | {self.me: self.synced}
        levels = sorted((matched.get(name, 0) for name in self.voters), reverse=True)
        if levels and levels[len(levels) // 2] > self.commit:
            self.commit = levels[len(levels) // 2]
            self._apply_committed()
            self._push(True)

    return patch.object(RaftNode, "_count", count)


def _removed_counts() -> AbstractContextManager[Any]:
    """A voter that was removed still counts, as one who agrees, until the log is cut."""

    def majority(self: RaftNode, names: set[str]) -> bool:
        voters = self.voters
        gone = [name for name in self.base_members if name not in self.members]
        return 2 * (sum(1 for it in voters if it in names) + len(gone)) > len(voters)

    return patch.object(RaftNode, "_majority", majority)


def _dropped_early() -> AbstractContextManager[Any]:
    """A lost disk is dropped before the owners have said that they need it no more."""

    def drop(self: Reconciler, edges: dict[str, Session]) -> None:
        roster = self.cluster_state.roster
        leaving = [disk for disk, store in roster.items() if store.state is not StoreState.FULL]
        if leaving:
            self.propose("drop", UpdateRoster(dropped=tuple(leaving)))

    return patch.object(Reconciler, "drop_replaced_disks", drop)


# By name: the fault, and the aim of the days in which it is looked for.
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
    "dropped-early": (_dropped_early, "footing"),
    "removed-counts": (_removed_counts, "footing"),
    "older-term": (_older_term, "core"),
    **mutations_voters.FAULTS,
    **mutations_frames.FAULTS,
    **mutations_partitions.FAULTS,
    **mutations_losses.FAULTS,
    **mutations_answers.FAULTS,
}


def mutated(name: str) -> AbstractContextManager[Any]:
    """The program with a fault, while the context lasts; as it is where there is no name."""
    return MUTANTS[name][0]() if name else nullcontext()
