"""Delivers message outcomes to storage nodes until each has acknowledged them. No I/O.

Invariant: an outcome counts as durable only once a write quorum of the current roster has acknowledged it.
Until then, disks that do not respond or have left the roster are replaced by further disks.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Set
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from result import Err, Ok, Result

from amberlug.cluster.dispatch.store_health import StoreHealth
from amberlug.cluster.interfaces import RequestFailure, Runtime
from amberlug.cluster.rpc.messages import request
from amberlug.cluster.storage.messages import Acknowledgement, AcknowledgeReply, AcknowledgeRequest

BATCH_INTERVAL_S = 0.02  # outcomes are batched for this time, to share one write at the storage node
ACKNOWLEDGE_TIMEOUT_S = 0.5
RETRY_INTERVAL_S = 0.3  # between requests to a storage node that does not respond
MAX_BATCH = 512  # outcomes in one request

OnDurable = Callable[[], None]


class OutcomePlacement(Protocol):
    """The storage nodes as outcome delivery uses them."""

    @property
    def writable_disks(self) -> list[str]:
        """The disks that accept replicas, in roster order."""

    def address_of(self, disk: str) -> str | None:
        """The address of a disk, or None if it is not on the roster."""

    def is_write_quorum(self, disks: Set[str]) -> bool:
        """Whether data on these disks survives the tolerated losses."""

    def disks_to_add(self, disks: Set[str], turn: int) -> list[str]:
        """The disks to add to these for a write quorum; fewer if there are not enough.

        :param turn: rotates the choice among equally ranked disks.
        """


@dataclass(slots=True)
class _Unconfirmed:
    """An outcome that too few disks have acknowledged."""

    acknowledgement: Acknowledgement
    disks: set[str] = field(default_factory=set)  # those that have acknowledged it
    on_durable: list[OnDurable] = field(default_factory=list)


class OutcomeDelivery:
    """Tracks and sends the outcomes that storage nodes have not acknowledged."""

    def __init__(self, runtime: Runtime, health: StoreHealth, placement: OutcomePlacement) -> None:
        self._runtime, self._health, self._placement = runtime, health, placement
        self._pending: dict[str, dict[str, Acknowledgement]] = {}  # by disk, by message
        self._in_flight: set[str] = set()  # disks with a request in flight
        self._unconfirmed: dict[str, _Unconfirmed] = {}  # by message

    # -- pending outcomes

    def deliver(
        self,
        acknowledgement: Acknowledgement,
        to_notify: Iterable[str],
        holders: Iterable[str] = (),
        on_durable: OnDurable | None = None,
    ) -> None:
        """Deliver an outcome to disks, and to further ones if these are no write quorum.

        :param to_notify: the disks that must receive it.
        :param holders: the disks that have it already.
        :param on_durable: called once a write quorum has it; before this method returns if it does already.
        """
        message_id = acknowledgement.message_id
        entry = self._unconfirmed.setdefault(message_id, _Unconfirmed(acknowledgement))
        entry.disks.update(holders)
        if on_durable is not None:
            entry.on_durable.append(on_durable)
        for disk in to_notify:
            self._add(disk, acknowledgement)
        if self._confirm_if_durable(message_id):
            return
        self._extend(entry, self._pending)

    def is_unconfirmed(self, message_id: str) -> bool:
        """Whether the outcome of a message is not on enough disks yet."""
        return message_id in self._unconfirmed

    @property
    def unconfirmed_count(self) -> int:
        """The number of outcomes that are not on enough disks yet."""
        return len(self._unconfirmed)

    def roster_changed(self, disks: Mapping[str, object]) -> None:
        """Drop pending outcomes for disks not in `disks`, and re-evaluate quorums by the new roster."""
        for disk in set(self._pending) - set(disks):
            del self._pending[disk]
        for message_id, entry in list(self._unconfirmed.items()):
            if not self._confirm_if_durable(message_id):
                self._extend(entry, self._pending)

    def pending(self) -> dict[str, Acknowledgement]:
        """The outcomes that some disk has not acknowledged, by message."""
        return {
            message_id: acknowledgement
            for by_message in self._pending.values()
            for message_id, acknowledgement in by_message.items()
        }

    def count_at_responsive(self) -> int:
        """The number of outcomes pending at disks that are not suspect."""
        return sum(
            len(by_message) for disk, by_message in self._pending.items() if not self._health.is_suspect(disk)
        )

    # -- quorums

    def _confirm_if_durable(self, message_id: str) -> bool:
        """Report an outcome as durable if enough disks have acknowledged it.

        :returns: whether it is durable.
        """
        entry = self._unconfirmed.get(message_id)
        if entry is None:
            return True
        if not self._placement.is_write_quorum(entry.disks):
            return False
        del self._unconfirmed[message_id]
        for on_durable in entry.on_durable:
            on_durable()
        return True

    def _extend(self, entry: _Unconfirmed, notified: Iterable[str]) -> None:
        """Deliver an outcome to further disks if the expected acknowledgements are too few.

        :param notified: the disks that are expected to acknowledge.
        """
        message_id = entry.acknowledgement.message_id
        expected = entry.disks.union(disk for disk in notified if message_id in self._pending[disk])
        for disk in self._placement.disks_to_add(expected, entry.acknowledgement.shard):
            self._add(disk, entry.acknowledgement)

    def _replace_unresponsive(self, batch: tuple[Acknowledgement, ...]) -> None:
        """Deliver a batch that one disk did not acknowledge to further disks."""
        responsive = [disk for disk in self._pending if not self._health.is_suspect(disk)]
        for acknowledgement in batch:
            entry = self._unconfirmed.get(acknowledgement.message_id)
            if entry is not None:
                self._extend(entry, responsive)

    # -- requests

    def _add(self, disk: str, acknowledgement: Acknowledgement) -> None:
        """Add an outcome to the next batch for a disk."""
        if not self._pending.get(disk) and disk not in self._in_flight:
            self._runtime.call_later(BATCH_INTERVAL_S, partial(self._send, disk))
        self._pending.setdefault(disk, {})[acknowledgement.message_id] = acknowledgement

    def _send(self, disk: str) -> None:
        address, pending = self._placement.address_of(disk), self._pending.get(disk)
        if address is None or not pending or disk in self._in_flight:
            return
        self._in_flight.add(disk)
        batch = tuple(pending.values())[:MAX_BATCH]
        sent_at = self._health.request_sent(disk)
        on_reply = partial(self._on_reply, disk, batch, sent_at)
        request(self._runtime, address, AcknowledgeRequest(batch), ACKNOWLEDGE_TIMEOUT_S, on_reply)

    def _on_reply(
        self,
        disk: str,
        batch: tuple[Acknowledgement, ...],
        sent_at: float,
        reply: Result[AcknowledgeReply, RequestFailure],
    ) -> None:
        self._in_flight.discard(disk)
        if isinstance(reply, Ok):
            self._health.response_received(disk, sent_at)
        if isinstance(reply, Err) or not reply.ok_value.is_durable_on(disk):
            self._health.suspect(disk, RETRY_INTERVAL_S)
            self._replace_unresponsive(batch)
            self._runtime.call_later(RETRY_INTERVAL_S, partial(self._send, disk))
            return
        self._on_acknowledged(disk, batch)

    def _on_acknowledged(self, disk: str, batch: tuple[Acknowledgement, ...]) -> None:
        pending = self._pending.get(disk, {})
        for acknowledgement in batch:
            message_id = acknowledgement.message_id
            pending.pop(message_id, None)
            entry = self._unconfirmed.get(message_id)
            if entry is not None:
                entry.disks.add(disk)
                self._confirm_if_durable(message_id)
        if pending:
            self._runtime.call_later(BATCH_INTERVAL_S, partial(self._send, disk))
