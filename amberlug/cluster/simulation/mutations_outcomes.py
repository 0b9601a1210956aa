"""Mutations of how outcomes of messages are stored, and of what lookups may answer."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Set
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from amberlug.cluster.dispatch.outcome_delivery import OutcomeDelivery
from amberlug.cluster.dispatch.outcome_repair import OutcomeRepairs
from amberlug.cluster.dispatch.replicator import Replicator
from amberlug.cluster.edge.delivery import MessageDelivery
from amberlug.cluster.edge.storage_reads import _OutcomeQuery
from amberlug.cluster.storage.messages import Acknowledgement
from amberlug.cluster.storage.records import StoredMessage


def _outcomes_unrepaired() -> AbstractContextManager[Any]:
    """Disks are dropped while outcomes are under-replicated."""

    def repair_nothing(self: OutcomeRepairs, shards: Iterable[int]) -> None:
        """Leave under-replicated outcomes as they are."""
        pass

    return patch.object(OutcomeRepairs, "repair", repair_nothing)


def _any_answer() -> AbstractContextManager[Any]:
    """The first storage node that answers decides a lookup."""

    def covers_all_messages(self: Replicator, disks: Set[str]) -> bool:
        """Count the answer of any one storage node as covering all messages."""
        return bool(disks)

    return patch.object(Replicator, "covers_all_messages", covers_all_messages)


def _single_end() -> AbstractContextManager[Any]:
    """A lookup reports an outcome that only one disk has."""

    def finish(self: _OutcomeQuery, ended: Acknowledgement) -> None:
        """Report the outcome at once, without waiting until enough disks have it."""
        self._finish(ended.outcome)

    return patch.object(_OutcomeQuery, "_finish_if_ended", finish)


def _end_from_memory() -> AbstractContextManager[Any]:
    """A shard owner reports an outcome before any storage node has stored it."""
    return patch.object(OutcomeDelivery, "is_unconfirmed", lambda self, message_id: False)


def _unsynced_outcome() -> AbstractContextManager[Any]:
    """A storage node reports and acknowledges outcomes before they are synced."""
    return patch.object(StoredMessage, "durable_outcome", property(lambda self: self.outcome))


def _recovered_counts() -> AbstractContextManager[Any]:
    """A message recovered from one disk is acknowledged as if it had enough replicas."""
    return patch.object(MessageDelivery, "_is_safe", lambda self, message_id: True)


FAULTS: Mapping[str, tuple[Callable[[], AbstractContextManager[Any]], str]] = {
    "outcomes-unrepaired": (_outcomes_unrepaired, "storage"),
    "any-answer": (_any_answer, "storage"),
    "single-end": (_single_end, "closing"),
    "end-from-memory": (_end_from_memory, "closing"),
    "unsynced-outcome": (_unsynced_outcome, "closing"),
    "recovered-counts": (_recovered_counts, "closing"),
}
