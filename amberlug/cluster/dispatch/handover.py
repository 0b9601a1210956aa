"""Passes shards, and the calls that are in flight for them, from previous owners to new ones. No I/O.

Invariant: as long as a call of a message can still run, the owner of the message's shard knows of the call
and starts no other one, however often the shard changes its owner meanwhile. It holds for all owners that get
the shard from one that is up; a node that is lost leaves nothing behind that tells of its calls.

- A previous owner reports its own calls, and those that were reported to it, before the new owner serves.
- A node that calls messages of other owners' shards reports the calls to each later owner itself as well, in
  case an owner between them is lost.
- A node that no longer owns the shard passes the end of a call on to the present owner.
- Without a report, a call counts as running until its timeout has passed, whether or not its caller is
  connected. Then the stored outcome decides whether the message is called again.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Container, Iterable, Mapping
from dataclasses import replace
from functools import partial
from typing import NamedTuple

from absl import logging

from amberlug.cluster.control.published_state import ShardTable
from amberlug.cluster.dispatch.message import Message, shard_of_message
from amberlug.cluster.dispatch.messages import CallEnded, CallInFlight, Handover
from amberlug.cluster.dispatch.remote_calls import (
    OWN_CALLER,
    CallKey,
    RemoteCall,
    RemoteCalls,
    evict_oldest,
)
from amberlug.cluster.dispatch.replicator import Replicator
from amberlug.cluster.interfaces import Runtime
from amberlug.cluster.rpc.messages import Responder, handles, send
from amberlug.cluster.storage.outcomes import OPEN, MessageOutcome
from amberlug.cluster.values import value

REPORT_TIMEOUT_S = 0.5  # after the end of a call, for its report or the stored outcome to arrive
HANDOVER_TIMEOUT_S = 0.6  # for a previous owner that is up to report its calls in flight
UNKNOWN_CALL_S = 4.0  # the duration of a call whose caller's version does not report it


@value
class DeliveryCallbacks:
    """Callbacks to the component that delivers the messages of owned shards.

    :param admit: starts delivering a message.
    :param release: stops delivering the messages of a shard and returns them.
    :param call_ended: applies the end of another node's call to a message that is admitted here.
    :param is_admitted: whether a message is being delivered or is known to have ended.
    :param is_safe: whether an admitted message, or its outcome, is on enough disks.
    :param hold: keeps an admitted message from being called while a call of another node may run.
    :param longest_call_s: the longest time, in seconds, for which a call of a message can run.
    :param find_outcome: reads the outcome of a message from storage; None if there is no certain answer.
    """

    admit: Callable[[Message], None]
    release: Callable[[int], list[Message]]
    call_ended: Callable[[CallEnded], None]
    is_admitted: Callable[[str], bool]
    is_safe: Callable[[str], bool]
    hold: Callable[[str], None]
    longest_call_s: Callable[[Message], float]
    find_outcome: Callable[[str, Callable[[MessageOutcome | None], None]], None]


@value
class RecoveryCallbacks:
    """Callbacks to the component that recovers shards.

    :param is_serving: whether this node owns a shard and has recovered it.
    :param on_handover: called after a handover has arrived.
    """

    is_serving: Callable[[int], bool]
    on_handover: Callable[[], None]


class LocalOwner(NamedTuple):
    """The id of this edge node in the shard table, and its address."""

    node_id: str
    address: str


class DeferredHandover(NamedTuple):
    """A shard that was lost before the node that owned it earlier had handed it over to this one."""

    awaited_from: str  # address of the earlier owner
    awaited_epoch: int
    recipient: str  # address of the new owner
    epoch: int


class ShardHandover:
    """What one edge node tells new owners of its shards, and what previous owners tell it."""

    def __init__(
        self,
        runtime: Runtime,
        replicator: Replicator,
        local: LocalOwner,
        delivery: DeliveryCallbacks,
        recovery: RecoveryCallbacks,
    ) -> None:
        self._runtime, self._replicator, self._local = runtime, replicator, local
        self._delivery, self._recovery = delivery, recovery
        self._table = ShardTable()
        self._calls = RemoteCalls()
        # The addresses of the nodes that have handed a shard over, by shard and epoch of the new owner.
        self._received: dict[tuple[int, int], set[str]] = {}
        self._deferred: dict[int, DeferredHandover] = {}

    @property
    def is_idle(self) -> bool:
        """Whether no new owner waits for a handover from this node."""
        return not self._deferred

    # -- to new owners

    def call_released(self, message: Message, epoch: int) -> None:
        """Note the call that is in flight here of a message whose shard was lost or changed its epoch.

        :param epoch: in which this node owned the shard.
        """
        assert message.call_ends_by is not None, "no call is in flight"
        self._add(CallKey(message.id, OWN_CALLER), RemoteCall(message.call_ends_by, epoch))

    def update_table(
        self, table: ShardTable, lost: Iterable[int], awaited: Mapping[int, DeferredHandover]
    ) -> None:
        """Apply a newer shard table, and report calls in flight to the owners that do not know of them.

        :param lost: the shards that this node has lost.
        :param awaited: by shard, those of them that no earlier owner has handed over to this node yet.
        """
        self._table = table
        for shard, deferred in awaited.items():
            self._deferred[shard] = deferred
            on_timeout = partial(self._complete_if, shard, deferred)
            self._runtime.call_later(HANDOVER_TIMEOUT_S, on_timeout)
        self._report([shard for shard in lost if shard not in awaited])

    def _report(self, handed_over: Iterable[int] = ()) -> None:
        """Hand over shards, and pass on all calls and ends of calls that belong to other owners."""
        epochs: dict[str, dict[int, int]] = defaultdict(dict)
        for shard in handed_over:
            owner = self._table.owner_of(shard)
            if owner is not None:
                epochs[owner.address][shard] = self._table.rows[shard].epoch
        calls = self._calls_to_report()
        for address in dict.fromkeys([*epochs, *calls]):
            self._send(address, epochs.get(address, {}), calls.get(address, ()))
        for ended in self._calls.pop_early_ends_if(self._has_other_owner_since):
            self._forward_end(ended)

    def _send(self, address: str, epochs: dict[int, int], calls: Iterable[CallInFlight]) -> None:
        unacknowledged = self._replicator.unacknowledged_outcomes() if epochs else {}
        ended = tuple(outcome for outcome in unacknowledged.values() if outcome.shard in epochs)
        send(self._runtime, address, Handover(epochs, tuple(calls), ended))

    def _calls_to_report(self) -> dict[str, list[CallInFlight]]:
        """The calls that the present owners of their shards have not been told of, by owner address.

        Those of other nodes are forgotten here: their callers report them again to later owners.
        """
        now = self._runtime.now()
        by_address: dict[str, list[CallInFlight]] = defaultdict(list)
        stale = self._calls.select(
            lambda key, call: self._has_other_owner_since(shard_of_message(key.message_id), call.epoch)
        )
        for key, call in stale:
            row = self._table.rows[shard_of_message(key.message_id)]
            remaining_s = max(0.0, call.ends_by - now)
            reported = CallInFlight(key.message_id, key.caller, remaining_s, row.epoch)
            by_address[self._table.owners[row.owner].address].append(reported)
            if key.caller == OWN_CALLER:
                call.epoch = row.epoch
            else:
                self._calls.remove(key)
        return by_address

    def _has_other_owner_since(self, shard: int, epoch: int) -> bool:
        """Whether another node owns the shard, and in a later epoch."""
        owner = self._table.owner_of(shard)
        is_other = owner is not None and owner.node_id != self._local.node_id
        return is_other and self._table.rows[shard].epoch > epoch

    def _complete_if(self, shard: int, deferred: DeferredHandover) -> None:
        """Complete a handover unless it has been completed or replaced."""
        if self._deferred.get(shard) == deferred:
            del self._deferred[shard]
            self._send(deferred.recipient, {shard: deferred.epoch}, ())

    def _complete_awaiting(self, address: str, epochs: Mapping[int, int] | None = None) -> None:
        """Complete the handovers that wait for the node at an address.

        :param epochs: by shard that it has handed over: the epoch; None if it is gone.
        """
        for shard, deferred in list(self._deferred.items()):
            is_over = epochs is None or epochs.get(shard) == deferred.awaited_epoch
            if deferred.awaited_from == address and is_over:
                self._complete_if(shard, deferred)

    def report_end(self, message: Message, outcome: MessageOutcome, is_failure: bool) -> None:
        """Report the end of a call that was in flight here to the present owner of the message's shard."""
        owner = self._table.owner_of(message.shard)
        epoch = self._table.rows[message.shard].epoch if owner is not None else 0
        ended = CallEnded(message.id, outcome, is_failure, OWN_CALLER, epoch)
        if owner is not None and owner.node_id == self._local.node_id:
            self._call_ended(ended)
            return
        self._calls.remove(CallKey(message.id, OWN_CALLER))
        if owner is not None:
            send(self._runtime, owner.address, ended)

    def _forward_end(self, ended: CallEnded) -> None:
        """Pass the end of a call on to the present owner of the message's shard."""
        row = self._table.rows[shard_of_message(ended.message_id)]
        send(self._runtime, self._table.owners[row.owner].address, replace(ended, epoch=row.epoch))

    # -- from previous owners

    @handles(Handover)
    def on_handover(self, message: Handover, origin: str, respond: Responder) -> None:
        """Handle a report of calls in flight and recent outcomes."""
        for acknowledgement in message.ended:
            self._call_ended(
                CallEnded(
                    acknowledgement.message_id,
                    acknowledgement.outcome,
                    is_failure=False,
                    caller=origin,
                    epoch=message.epochs.get(acknowledgement.shard, 0),
                )
            )
        for call in message.in_flight:
            self._call_reported(call, origin, message.epochs)
        for shard, epoch in message.epochs.items():
            self._received.setdefault((shard, epoch), set()).add(origin)
        evict_oldest(self._received)
        self._end_presumed_calls(origin, message)
        self._report()
        self._complete_awaiting(origin, message.epochs)
        self._recovery.on_handover()

    def _call_reported(self, call: CallInFlight, origin: str, epochs: Mapping[int, int]) -> None:
        caller = call.caller or origin
        key = CallKey(call.message_id, OWN_CALLER if caller == self._local.address else caller)
        remaining_s = call.remaining_s if call.remaining_s is not None else UNKNOWN_CALL_S
        epoch = call.epoch or epochs.get(shard_of_message(call.message_id), 0)
        self._add(key, RemoteCall(self._runtime.now() + remaining_s, epoch))
        self._delivery.hold(call.message_id)

    def _end_presumed_calls(self, address: str, handover: Handover | None = None) -> None:
        """End the presumed calls of a node that has handed over the shard, or is gone.

        Calls that the handover contains are not presumed any more.
        """

        def is_refuted(key: CallKey, call: RemoteCall) -> bool:
            """Whether the node would have reported the call by now."""
            shard = shard_of_message(key.message_id)
            is_handed_over = handover is None or handover.epochs.get(shard) == call.epoch
            return call.is_presumed and key.caller == address and is_handed_over

        for key, _ in self._calls.select(is_refuted):
            self._call_ended(CallEnded(key.message_id, OPEN, is_failure=False, caller=key.caller))

    @handles(CallEnded)
    def on_outcome(self, message: CallEnded, origin: str, respond: Responder) -> None:
        """Handle the report of the end of a call that another node made."""
        caller = message.caller or origin
        self._call_ended(replace(message, caller=OWN_CALLER if caller == self._local.address else caller))

    def _call_ended(self, ended: CallEnded) -> None:
        message_id, shard = ended.message_id, shard_of_message(ended.message_id)
        was_awaited = self._calls.remove(CallKey(message_id, ended.caller))
        if self._has_other_owner_since(shard, ended.epoch):
            self._forward_end(ended)
        elif not self._delivery.is_admitted(message_id):
            if not self._recovery.is_serving(shard):
                self._calls.add_early_end(ended)
        elif not ended.outcome.is_open:
            self._calls.forget_message(message_id)
            self._delivery.call_ended(ended)
        elif was_awaited:
            # A late report that is no longer awaited must not make the message callable again: a call of it
            # may be in flight here by now.
            self._delivery.call_ended(ended)

    def connection_lost(self, address: str) -> None:
        """Stop waiting for a handover by a process that may have ended.

        Its calls that are known are still waited for: an endpoint may go on with them.
        """
        self._end_presumed_calls(address)
        self._complete_awaiting(address)

    def has_received(self, shard: int, epoch: int, address: str = "") -> bool:
        """Whether the shard was handed over for that epoch.

        :param address: of the node that hands it over; empty for any node.
        """
        senders = self._received.get((shard, epoch), set())
        return address in senders if address else bool(senders)

    # -- calls of recovered messages

    def may_be_called(self, message_id: str) -> bool:
        """Whether no call of the message can still run at another node, as far as is known."""
        return not self._calls.has_calls_of(message_id)

    def presume_call(self, message: Message, address: str, epoch: int) -> None:
        """Take a recovered message as being called by the previous owner, which has not handed over yet."""
        ends_by = self._runtime.now() + self._delivery.longest_call_s(message)
        self._add(CallKey(message.id, address), RemoteCall(ends_by, epoch, is_presumed=True))

    def pop_early_ends(self, message_id: str) -> list[CallEnded]:
        """Remove and return the ends of a message's calls that were reported before its recovery."""
        return self._calls.pop_early_ends(message_id)

    def forget_early_ends(self, shards: Container[int]) -> None:
        """Drop the early ends that the recovery of these shards has not needed: their messages had ended."""
        self._calls.pop_early_ends_if(lambda shard, epoch: shard in shards)

    def forget_message(self, message_id: str) -> None:
        """Stop waiting for the calls of a message that has ended."""
        self._calls.forget_message(message_id)

    # -- calls whose end is not reported

    def _add(self, key: CallKey, call: RemoteCall) -> None:
        if self._calls.add(key, call):
            self._check_overdue(key)

    def _check_overdue(self, key: CallKey) -> None:
        """End a call that can't run any more, with the outcome that its caller may have stored."""
        call = self._calls.get(key)
        if call is None:
            return  # its end was reported
        left_s = call.ends_by + REPORT_TIMEOUT_S - self._runtime.now()
        if left_s > 0:
            self._runtime.call_later(left_s, partial(self._check_overdue, key))
            return
        if not self._delivery.is_admitted(key.message_id):
            self._calls.remove(key)
            return
        logging.info("no report of the call of message %s by %s", key.message_id, key.caller or "this node")
        self._delivery.find_outcome(key.message_id, partial(self._on_stored_outcome, key))

    def _on_stored_outcome(self, key: CallKey, outcome: MessageOutcome | None) -> None:
        self._call_ended(CallEnded(key.message_id, outcome or OPEN, is_failure=False, caller=key.caller))
