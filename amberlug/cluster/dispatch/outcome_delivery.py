"""Has storage nodes learn how messages ended, until each of them has acknowledged it. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from functools import partial

from result import Err, Ok, Result

from amberlug.cluster.dispatch.store_health import StoreHealth
from amberlug.cluster.interfaces import RequestFailure, Runtime
from amberlug.cluster.rpc.messages import request
from amberlug.cluster.storage.messages import Acknowledgement, AcknowledgeReply, AcknowledgeRequest

BATCH_INTERVAL_S = 0.02  # outcomes are gathered for so long: one write at the storage node for all of them
ACKNOWLEDGE_TIMEOUT_S = 0.5
RETRY_INTERVAL_S = 0.3  # between tries at a storage node that does not respond
MAX_BATCH = 512  # outcomes in one request


class OutcomeDelivery:
    """The outcomes that storage nodes have not acknowledged, by disk.

    :param address_of: the address of a disk on the roster, or None.
    :param writable: the disks that take replicas, in the order of the roster.
    """

    def __init__(
        self,
        runtime: Runtime,
        health: StoreHealth,
        address_of: Callable[[str], str | None],
        writable: Callable[[], list[str]],
    ) -> None:
        self._runtime, self._health = runtime, health
        self._address_of, self._writable = address_of, writable
        self._pending: dict[str, dict[str, Acknowledgement]] = {}  # by disk, by message
        self._in_flight: set[str] = set()  # disks with a request under way

    def forget_except(self, disks: Mapping[str, object]) -> None:
        """Forget what is pending for all disks but these."""
        for disk in set(self._pending) - set(disks):
            del self._pending[disk]

    def add(self, disk: str, acknowledgement: Acknowledgement) -> None:
        """Have a disk learn an outcome with the next batch."""
        if not self._pending.get(disk) and disk not in self._in_flight:
            self._runtime.call_later(BATCH_INTERVAL_S, partial(self._send, disk))
        self._pending.setdefault(disk, {})[acknowledgement.message_id] = acknowledgement

    def pending(self) -> dict[str, Acknowledgement]:
        """By message: the outcomes that some disk has not acknowledged."""
        return {
            message_id: acknowledgement
            for by_message in self._pending.values()
            for message_id, acknowledgement in by_message.items()
        }

    def count_at_responsive(self) -> int:
        """How many outcomes wait for disks that are not suspect."""
        return sum(
            len(by_message) for disk, by_message in self._pending.items() if not self._health.is_suspect(disk)
        )

    def _send(self, disk: str) -> None:
        address, pending = self._address_of(disk), self._pending.get(disk)
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
        if isinstance(reply, Err) or not reply.ok_value.durable:
            self._add_substitute(disk, batch)
            self._runtime.call_later(RETRY_INTERVAL_S, partial(self._send, disk))
            return
        pending = self._pending.get(disk, {})
        for acknowledgement in batch:
            pending.pop(acknowledgement.message_id, None)
        if pending:
            self._runtime.call_later(BATCH_INTERVAL_S, partial(self._send, disk))

    def _add_substitute(self, unresponsive: str, batch: tuple[Acknowledgement, ...]) -> None:
        """Have a further disk learn what one did not acknowledge, so that enough of them know it."""
        self._health.suspect(unresponsive, RETRY_INTERVAL_S)
        disk = next(self._substitutes(unresponsive), None)
        if disk is None:
            return
        pending = self._pending.setdefault(disk, {})
        for acknowledgement in batch:
            pending.setdefault(acknowledgement.message_id, acknowledgement)
        self._runtime.call_later(0.0, partial(self._send, disk))

    def _substitutes(self, unresponsive: str) -> Iterator[str]:
        return (
            disk for disk in self._writable() if disk != unresponsive and not self._health.is_suspect(disk)
        )
