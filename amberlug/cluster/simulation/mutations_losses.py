"""Mutations of the protection against a second loss: replicas, dropped disks, joining storage nodes."""

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
    """A retiring storage node still counts as a replica."""

    def is_write_quorum(self: Replicator, disks: Set[str]) -> bool:
        """Count replicas on retiring storage nodes as well."""
        return self.is_quorum(
            {
                disk
                for disk in disks
                if disk in self.stores and self.stores[disk].state in (StoreState.FULL, StoreState.RETIRING)
            }
        )

    return patch.object(Replicator, "is_write_quorum", is_write_quorum)


def _last_short() -> AbstractContextManager[Any]:
    """A disk is dropped while one message is still under-replicated."""
    drop = Reconciler.drop_replaced_disks

    def early(self: Reconciler, edges: dict[str, Session]) -> None:
        """Hide one under-replicated message per edge node while disks are dropped."""
        short = {name: it.details.get("short", 0) for name, it in edges.items()}
        for it in edges.values():
            it.details["short"] = max(0, it.details.get("short", 0) - 1)
        drop(self, edges)
        for name, it in edges.items():
            it.details["short"] = short[name]

    return patch.object(Reconciler, "drop_replaced_disks", early)


def _one_zone() -> AbstractContextManager[Any]:
    """Replicas are counted by machine, whatever their zones."""

    def hold(self: Replicator, disks: Set[str]) -> bool:
        """Compare the number of machines with the tolerance, without comparing their zones and regions."""
        names = {self.stores[disk].name for disk in disks if disk in self.stores}
        tolerance = self.tolerance
        return len(names) > max(tolerance.machines, tolerance.zones, tolerance.regions)

    return patch.object(Replicator, "is_quorum", hold)


def _old_epoch() -> AbstractContextManager[Any]:
    """A joining storage node accepts writes of former shard owners."""

    def fence_nobody(self: Enrollment, table_index: int) -> list[FenceRow]:
        """Return no fence rows, so that former shard owners can still write."""
        return []

    return patch.object(Enrollment, "_fence_earlier_owners", fence_nobody)


def _unfenced_drop() -> AbstractContextManager[Any]:
    """A recovered shard counts as fenced on all storage nodes."""
    return patch.object(ShardOwner, "unfenced_recoveries", 0)


def _blind_drop() -> AbstractContextManager[Any]:
    """Shard owners report no under-replicated messages before they have checked."""
    progress = ReplicaRepair.progress

    def nothing_lacks(self: ReplicaRepair) -> EdgeAttributes:
        """Report that no message is under-replicated."""
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
