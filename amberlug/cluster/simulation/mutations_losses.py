"""Faults in what guards against a second loss: copies, drops of disks, and stores that join."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Set
from contextlib import AbstractContextManager
from dataclasses import replace
from typing import Any
from unittest.mock import patch

from amberlug.cluster.control.reconciler import Reconciler
from amberlug.cluster.control.session_attributes import EdgeAttributes
from amberlug.cluster.control.sessions import Session
from amberlug.cluster.control.state_entries import StoreState
from amberlug.cluster.dispatch.replicator import Replicator
from amberlug.cluster.dispatch.shard_owner import ShardOwner
from amberlug.cluster.edge.repair import ReplicaRepair
from amberlug.cluster.storage.enrollment import Enrollment
from amberlug.cluster.storage.records import FenceRow


def _retire_short() -> AbstractContextManager[Any]:
    """A store that is emptied counts as one of the copies of what it holds."""

    def is_write_quorum(self: Replicator, disks: Set[str]) -> bool:
        return self.is_quorum(
            {
                disk
                for disk in disks
                if disk in self.stores and self.stores[disk].state in (StoreState.FULL, StoreState.RETIRING)
            }
        )

    return patch.object(Replicator, "is_write_quorum", is_write_quorum)


def _last_short() -> AbstractContextManager[Any]:
    """A disk is dropped though one message still lacks a copy."""
    drop = Reconciler.drop_replaced_disks

    def early(self: Reconciler, edges: dict[str, Session]) -> None:
        short = {name: it.details.get("short", 0) for name, it in edges.items()}
        for it in edges.values():
            it.details["short"] = max(0, it.details.get("short", 0) - 1)
        drop(self, edges)
        for name, it in edges.items():
            it.details["short"] = short[name]

    return patch.object(Reconciler, "drop_replaced_disks", early)


def _one_zone() -> AbstractContextManager[Any]:
    """Copies are counted by machines, wherever they stand."""

    def hold(self: Replicator, disks: Set[str]) -> bool:
        names = {self.stores[disk].name for disk in disks if disk in self.stores}
        tolerance = self.tolerance
        return len(names) > max(tolerance.machines, tolerance.zones, tolerance.regions)

    return patch.object(Replicator, "is_quorum", hold)


def _old_epoch() -> AbstractContextManager[Any]:
    """A store that joins takes puts of whoever owned shards before."""

    def fence_nobody(self: Enrollment, table_index: int) -> list[FenceRow]:
        return []

    return patch.object(Enrollment, "_fence_earlier_owners", fence_nobody)


def _unfenced_drop() -> AbstractContextManager[Any]:
    """A take-over that serves counts as fenced everywhere."""
    return patch.object(ShardOwner, "unfenced_recoveries", 0)


def _blind_drop() -> AbstractContextManager[Any]:
    """Owners say that nothing lacks a copy, before they have looked."""
    progress = ReplicaRepair.progress

    def nothing_lacks(self: ReplicaRepair) -> EdgeAttributes:
        return replace(progress(self), under_replicated_messages=0)

    return patch.object(ReplicaRepair, "progress", nothing_lacks)


FAULTS: Mapping[str, tuple[Callable[[], AbstractContextManager[Any]], str]] = {
    "retire-short": (_retire_short, "losses-stores"),
    "last-short": (_last_short, "losses-stores"),
    "one-zone": (_one_zone, "losses-zone"),
    "old-epoch": (_old_epoch, "losses-stores"),
    "unfenced-drop": (_unfenced_drop, "losses-stores"),
    "blind-drop": (_blind_drop, "losses-stores"),
}
