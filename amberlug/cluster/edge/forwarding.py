"""Submits messages to the owners of their shards, local or remote, with retries. No I/O."""

from __future__ import annotations

from result import Err, Result

from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.dispatch.messages import AdmissionOutcome, Offer, OfferReply
from amberlug.cluster.dispatch.shard_owner import AdmissionCallback, ShardOwner
from amberlug.cluster.edge.context import EdgeContext
from amberlug.cluster.interfaces import RequestFailure
from amberlug.cluster.rpc.messages import Responder, handles, request

OFFER_TIMEOUT_S = 0.5  # for a remote owner to reply: ten times the duration of a replicated write
RETRY_INTERVAL_S = 0.03  # between attempts; a change of a shard's owner takes a few intervals
NO_OWNER_TIMEOUT_S = 1.0  # for the shard to get a responsive owner, if the client would wait longer


class Forwarder:
    """Submits messages of this node's clients, and accepts messages forwarded by other edge nodes."""

    def __init__(self, context: EdgeContext, shard_owner: ShardOwner) -> None:
        self.context, self.shard_owner = context, shard_owner

    def submit(self, message: Message, timeout_s: float, on_outcome: AdmissionCallback) -> None:
        """Have the owner of the message's shard accept it.

        :param timeout_s: seconds within which the client must be answered.
        :param on_outcome: called once. `REJECTED` means that the message is definitely not stored,
            `OUTCOME_UNKNOWN` that it may be.
        """
        _Submission(self, message, timeout_s, on_outcome).attempt()

    @handles(Offer)
    def on_offer(self, offer: Offer, origin: str, respond: Responder) -> None:
        """Accept a message submitted by a client of another edge node."""
        message = offer.to_message()
        self.context.count("forwarded by others")
        if message.config_index > self.context.routes.index:
            self.context.gossip.compare_with(origin)
        if message.shard in self.shard_owner.owned and self.context.replicator.check_unavailable():
            respond(OfferReply(AdmissionOutcome.REJECTED, is_unavailable=True))
            return
        self.shard_owner.accept(message, lambda outcome: respond(OfferReply(outcome)))


class _Submission:
    """One submission of a client's message, with retries.

    Invariant: the message is reported as rejected only if no owner and no storage node can have it. If an
    attempt ends with an unknown outcome, or is in flight at the deadline, the submission's outcome is unknown
    unless a later attempt is accepted, since the next owner may recover replicas written by an earlier one.
    All attempts use the same id, so that a message that is accepted twice is stored once.
    """

    def __init__(
        self, forwarder: Forwarder, message: Message, timeout_s: float, on_outcome: AdmissionCallback
    ) -> None:
        self._runtime, self._session = forwarder.context.runtime, forwarder.context.session
        self._shard_owner, self._message, self._on_outcome = forwarder.shard_owner, message, on_outcome
        now = self._runtime.now()
        self._deadline = now + timeout_s
        self._no_owner_deadline = now + min(timeout_s, NO_OWNER_TIMEOUT_S)
        self._may_be_stored = False
        self._in_flight = False
        self._finished = False
        self._timer = self._runtime.call_later(timeout_s, self._timed_out)

    def attempt(self) -> None:
        """Offer the message to the current owner of its shard."""
        if self._finished:
            return
        now = self._runtime.now()
        if now >= self._deadline or (not self._may_be_stored and now > self._no_owner_deadline):
            self._give_up(self._may_be_stored)
            return
        if self._message.shard in self._shard_owner.owned:
            self._in_flight = True
            self._shard_owner.accept(self._message, self._owner_answered)
            return
        owner = self._shard_owner.owner_of(self._message.shard)
        if owner is None or owner.node_id == self._session.id:
            self._retry_later()
            return
        self._offer_to(owner.address, min(self._deadline - now, OFFER_TIMEOUT_S))

    def _offer_to(self, address: str, timeout_s: float) -> None:
        self._in_flight = True
        request(self._runtime, address, Offer.of(self._message), timeout_s, self._offer_answered)

    def _offer_answered(self, reply: Result[OfferReply, RequestFailure]) -> None:
        if isinstance(reply, Err):
            self._in_flight = False
            self._may_be_stored |= reply.err_value is not RequestFailure.NOT_SENT
            self._retry_later()
            return
        if reply.ok_value.is_unavailable and not self._may_be_stored:
            # Too few storage nodes respond to the owner, and it wrote nothing: a retry would fail too.
            self._finish(AdmissionOutcome.REJECTED)
        else:
            self._owner_answered(reply.ok_value.outcome)

    def _owner_answered(self, outcome: AdmissionOutcome) -> None:
        self._in_flight = False
        if outcome is AdmissionOutcome.ACCEPTED:
            self._finish(outcome)
            return
        self._may_be_stored |= outcome is not AdmissionOutcome.REJECTED
        self._retry_later()

    def _retry_later(self) -> None:
        self._runtime.call_later(RETRY_INTERVAL_S, self.attempt)

    def _timed_out(self) -> None:
        self._give_up(self._may_be_stored or self._in_flight)

    def _give_up(self, may_be_stored: bool) -> None:
        self._finish(AdmissionOutcome.OUTCOME_UNKNOWN if may_be_stored else AdmissionOutcome.REJECTED)

    def _finish(self, outcome: AdmissionOutcome) -> None:
        if not self._finished:
            self._finished = True
            self._timer.cancel()
            self._on_outcome(outcome)
