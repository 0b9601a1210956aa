"""The session that edge and storage nodes keep with one control-plane node. No I/O.

The session is a lease: heartbeats renew it, and the control plane drops a node whose session has expired. A
control-plane node that reaches no majority of its peers refuses sessions, so that nodes find one that does.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from result import Err, Ok, Result

from amberlug.cluster.consensus.membership import Members
from amberlug.cluster.control.messages import (
    CurrentStateReply,
    Heartbeat,
    OpenSession,
    ReadCurrentState,
    SessionDescription,
    SessionReply,
)
from amberlug.cluster.control.session_attributes import SessionAttributes
from amberlug.cluster.control.sessions import HEARTBEAT_INTERVAL_S
from amberlug.cluster.gossip.announcements import Announcement
from amberlug.cluster.gossip.store import GossipStore
from amberlug.cluster.interfaces import RequestFailure, Runtime
from amberlug.cluster.rpc.messages import request, send
from amberlug.cluster.settings import Settings
from amberlug.cluster.values import value

HEARTBEAT_TIMEOUT_S = 0.4
OPEN_TIMEOUT_S = 0.8
HEDGE_DELAY_S = 0.25  # without a reply until a further control-plane node is tried as well
CURRENT_STATE_TIMEOUT_S = 5.0  # for a page: a large one takes seconds over a slow link
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.5  # all control-plane nodes may be without a majority for long
RETRY_BACKOFF = 1.3
RETRY_JITTER = (0.8, 1.2)  # factors: nodes that lost one control-plane node do not retry in step
MAX_COUNTED_FAILURES = 20  # keeps the power of the backoff small: the delay is at its maximum long before
MAX_STALENESS_S = 1.5  # what a control-plane node knows may be so much older than what a majority has


def seed_addresses(settings: Settings) -> list[str]:
    """The seeds' addresses for peers: all nodes of a deployment use the same ports."""
    return [f"{host}:{settings.ports.start}" for host, _ in settings.seeds]


def _is_in_contact(reply: Result[SessionReply, RequestFailure]) -> bool:
    """Whether a control-plane node keeps the session, and knows what a majority knows."""
    if isinstance(reply, Err):
        return False
    return reply.ok_value.is_accepted and reply.ok_value.staleness_s <= MAX_STALENESS_S


@value
class LocalNode:
    """The node that the session is for.

    :param address: where it listens for peers.
    :param attributes: gives what only this class of node reports.
    """

    address: str
    machine_class: str
    attributes: Callable[[], SessionAttributes]


@dataclass(slots=True)
class _Attempt:
    """A request to open a session. The search continues without it once it has been hedged."""

    epoch: int
    address: str
    was_continued: bool = False


class SessionClient:
    """Keeps a session with one control-plane node, and opens one with another when that one is unresponsive.

    Each search for a control-plane node has an epoch. Replies and timers of earlier epochs are ignored, so
    that at most one session is kept at a time.
    """

    def __init__(self, runtime: Runtime, settings: Settings, node: LocalNode, gossip: GossipStore) -> None:
        self.runtime, self.settings, self.node, self.gossip = runtime, settings, node, gossip
        self.incarnation = f"{int(runtime.wall_clock() * 1000):x}{runtime.rng.getrandbits(16):04x}"
        self.state = "up"
        self.control_address = ""  # of the control-plane node that the session is with
        self.is_confirmed = False  # whether the announcements were once as new as a majority's
        self._candidates: list[str] = seed_addresses(settings)
        self._attempts = 0  # which candidate is next
        self._failures = 0  # since a session was open
        self._epoch = 0

    @property
    def id(self) -> str:
        """The node's name with its incarnation."""
        return f"{self.settings.name}/{self.incarnation}"

    def begin(self) -> None:
        """Open the first session."""
        self.runtime.rng.shuffle(self._candidates)
        self._search()

    def update_control_nodes(self, members: Members) -> None:
        """Prefer the control-plane nodes of the own zone, then the others in random order.

        :param members: the control plane's Raft group; ignored where it is empty.
        """
        zone = self.settings.zone
        same_zone = [member.address for member in members.values() if member.zone == zone]
        others = [member.address for member in members.values() if member.zone != zone]
        self.runtime.rng.shuffle(others)
        self._candidates = same_zone + others or self._candidates

    def add_seeds(self, addresses: list[str]) -> None:
        """Add addresses to try after those that are known."""
        self._candidates += [address for address in addresses if address not in self._candidates]

    def on_disconnect(self, address: str) -> None:
        """A connection with a peer ended: where the session is with it, search at once."""
        if address == self.control_address:
            self._lose_session()

    def leave(self) -> None:
        """Announce a planned stop, without waiting for the next heartbeat."""
        self.state = "leaving"
        if self.control_address:
            send(self.runtime, self.control_address, Heartbeat(self._describe()))

    def _describe(self) -> SessionDescription:
        return SessionDescription(
            name=self.settings.name,
            incarnation=self.incarnation,
            address=self.node.address,
            machine_class=self.node.machine_class,
            zone=self.settings.zone,
            region=self.settings.region,
            state=self.state,
            details=self.node.attributes().to_wire(),
        )

    # -- opening a session

    def _lose_session(self) -> None:
        self.control_address = ""
        self._search()

    def _search(self) -> None:
        self._epoch += 1
        self._try_next(self._epoch)

    def _try_next(self, epoch: int) -> None:
        """Try one control-plane node, and soon a further one in parallel: several may be unresponsive."""
        if epoch != self._epoch or self.control_address:
            return
        attempt = _Attempt(epoch, self._candidates[self._attempts % len(self._candidates)])
        self._attempts += 1
        on_reply = partial(self._on_open_reply, attempt)
        request(self.runtime, attempt.address, OpenSession(self._describe()), OPEN_TIMEOUT_S, on_reply)
        self.runtime.call_later(HEDGE_DELAY_S, partial(self._hedge, attempt))

    def _hedge(self, attempt: _Attempt) -> None:
        if not attempt.was_continued:
            attempt.was_continued = True
            self._try_next(attempt.epoch)

    def _on_open_reply(self, attempt: _Attempt, reply: Result[SessionReply, RequestFailure]) -> None:
        if attempt.epoch != self._epoch or self.control_address:
            return  # another one was quicker
        if _is_in_contact(reply):
            attempt.was_continued = True
            self._start_session(attempt)
        elif not attempt.was_continued:
            attempt.was_continued = True
            self._retry_later()

    def _start_session(self, attempt: _Attempt) -> None:
        self.control_address = attempt.address
        self._failures = 0
        self.gossip.compare_with(attempt.address)
        self.runtime.call_later(HEARTBEAT_INTERVAL_S, partial(self._send_heartbeat, attempt.epoch))
        if not self.is_confirmed:
            self._read_current_state(attempt.epoch)

    def _retry_later(self) -> None:
        """Try the next control-plane node after a delay that grows with each failure."""
        delay_s = min(MAX_RETRY_DELAY_S, MIN_RETRY_DELAY_S * RETRY_BACKOFF**self._failures)
        delay_s *= self.runtime.rng.uniform(*RETRY_JITTER)
        self._failures = min(self._failures + 1, MAX_COUNTED_FAILURES)
        self.runtime.call_later(delay_s, partial(self._try_next, self._epoch))

    # -- confirming the state

    def _read_current_state(self, epoch: int, after_key: str = "") -> None:
        """Have a majority confirm what is known once, page by page, before clients are served."""
        if epoch == self._epoch and not self.is_confirmed:
            message, on_reply = ReadCurrentState(after_key), partial(self._on_current_state, epoch)
            request(self.runtime, self.control_address, message, CURRENT_STATE_TIMEOUT_S, on_reply)

    def _on_current_state(self, epoch: int, reply: Result[CurrentStateReply, RequestFailure]) -> None:
        if self.is_confirmed or epoch != self._epoch:
            return
        if not isinstance(reply, Ok) or not reply.ok_value.is_confirmed:
            # This control-plane node reaches no majority, or is slow: another one may do better.
            self.control_address = ""
            self._epoch += 1
            self._retry_later()
            return
        page = reply.ok_value
        self.gossip.apply(Announcement(*row) for row in page.items)
        if page.next_key:
            self._read_current_state(epoch, page.next_key)
        else:
            self.is_confirmed = True

    # -- keeping the session

    def _send_heartbeat(self, epoch: int) -> None:
        if epoch == self._epoch:
            on_reply = partial(self._on_heartbeat_reply, epoch, self.runtime.now())
            message = Heartbeat(self._describe())
            request(self.runtime, self.control_address, message, HEARTBEAT_TIMEOUT_S, on_reply)

    def _on_heartbeat_reply(
        self, epoch: int, sent_at_s: float, reply: Result[SessionReply, RequestFailure]
    ) -> None:
        if epoch != self._epoch:
            return
        if not _is_in_contact(reply):
            self._lose_session()
            return
        delay_s = max(0.0, HEARTBEAT_INTERVAL_S - (self.runtime.now() - sent_at_s))
        self.runtime.call_later(delay_s, partial(self._send_heartbeat, epoch))
