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
from amberlug.cluster.control import node as control_node
from amberlug.cluster.control.node import ControlNode
from amberlug.cluster.control.sessions import Session
from amberlug.cluster.dispatch.message import Message, SequencePosition
from amberlug.cluster.dispatch.messages import AdmissionOutcome
from amberlug.cluster.dispatch.replica_write import ReplicationOutcome, ReplicaWrite
from amberlug.cluster.dispatch.shard_owner import ShardOwner
from amberlug.cluster.dispatch.shard_recovery import ShardRecovery
from amberlug.cluster.edge import node as edge_node
from amberlug.cluster.edge.node import EdgeNode
from amberlug.cluster.gossip.store import GossipStore
from amberlug.cluster.http.api import HttpResponse, RespondHttp
from amberlug.cluster.http.routing import RoutingTable
from amberlug.cluster.interfaces import CallResult, Json, RequestFailure
from amberlug.cluster.settings import Settings
from amberlug.cluster.simulation import (
    mutations_answers,
    mutations_frames,
    mutations_losses,
    mutations_partitions,
    mutations_voters,
)
from amberlug.cluster.storage.messages import ReplicaWriteReply, ReplicaWriteResult
from amberlug.cluster.storage.node import StorageNode

Mutant = Callable[[], AbstractContextManager[Any]]


def _first_sync() -> AbstractContextManager[Any]:
    """202 before the second sync."""
    on_reply = ReplicaWrite.on_reply

    def first(self: ReplicaWrite, disk: str, reply: Result[ReplicaWriteReply, RequestFailure]) -> None:
        if isinstance(reply, Ok) and reply.ok_value.result is ReplicaWriteResult.STORED:
            self.message.holders.add(disk)
            self.complete(ReplicationOutcome.REPLICATED)
        else:
            on_reply(self, disk, reply)

    return patch.object(ReplicaWrite, "on_reply", first)


def _old_vote() -> AbstractContextManager[Any]:
    """A wiped voter votes as its old self, and nobody tells it what it had."""

    def blank(settings: Settings, chance: Callable[[int], int]) -> PersistentState:
        return PersistentState(f"{settings.ip}/0", members=control_node.founding(settings))

    untold = patch.object(RollbackGuard, "short", lambda self, said: False)
    return _both(patch("amberlug.cluster.simulation.deployment.blank", blank), untold)


def _no_fence() -> AbstractContextManager[Any]:
    """A take-over without a fence."""
    return patch.object(StorageNode, "_fenced", lambda self, shard, epoch: False)


def _drain_alone() -> AbstractContextManager[Any]:
    """A drain acknowledged by one machine alone."""

    def leave(
        self: ControlNode, name: str, rank: int, sequence: int, said: Json | None, say: RespondHttp
    ) -> None:
        self.registry.leaves(name, rank, sequence, said)
        say(HttpResponse(200, {}))

    return patch.object(ControlNode, "_leave", leave)


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
    recovered = ShardOwner.recovered

    def by_name(self: ShardOwner, recovery: ShardRecovery) -> None:
        found = recovery.open_messages
        for number, name in enumerate(sorted(found, key=lambda it: it.partition("-")[2])):
            found[name].order = SequencePosition(0, number)
        recovered(self, recovery)

    return patch.object(ShardOwner, "recovered", by_name)


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
                self.services[name].set_rate(it.rate, 1.0)

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

    def drop(self: ControlNode, edges: dict[str, Session]) -> None:
        gone = [disk for disk, it in self.cluster_state.roster.items() if it["state"] in ("lost", "retiring")]
        if gone:
            self._propose("drop", {"do": "roster", "drop": gone})

    return patch.object(ControlNode, "_drop_disks", drop)


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
