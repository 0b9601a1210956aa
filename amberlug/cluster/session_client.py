"""Client side of the session between an edge or storage node and one control-plane node. No I/O.

The session is a lease: heartbeats renew it, and the control plane treats a node whose session has expired
as gone. A control-plane node that cannot reach a majority of its peers rejects sessions, so that nodes move
to one that can.
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
HEDGE_DELAY_S = 0.25  # time without a reply after which another control-plane node is tried in parallel
CURRENT_STATE_TIMEOUT_S = 5.0  # per page: a large page takes seconds over a slow link
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.5  # before jitter; the control plane may be without a majority for a long time
RETRY_BACKOFF = 1.3
RETRY_JITTER = (0.8, 1.2)  # factors; keep nodes that lost the same control-plane node from retrying in step
MAX_COUNTED_FAILURES = 20  # bounds the exponent of the backoff; the delay reaches its maximum long before
MAX_STALENESS_S = 1.5  # how far the state of a control-plane node may lag behind the majority


def seed_addresses(settings: Settings) -> list[str]:
    """Return the peer addresses of the seed nodes.

    Assumes that each seed listens on the first port of the range, which is the same for all nodes.
    """
    return [f"{host}:{settings.ports.start}" for host, _ in settings.seeds]


def _is_usable(reply: Result[SessionReply, RequestFailure]) -> bool:
    """Whether the control-plane node accepts the session and is up to date with a majority."""
    if isinstance(reply, Err):
        return False
    return reply.ok_value.is_accepted and reply.ok_value.staleness_s <= MAX_STALENESS_S


@value
class LocalNode:
    """The node that the session is for.

    :param address: where it listens for peers.
    :param machine_class: `edge` or `storage`.
    :param attributes: returns the attributes that are specific to this kind of node.
    """

    address: str
    machine_class: str
    attributes: Callable[[], SessionAttributes]


@dataclass(slots=True)
class _Attempt:
    """A request to open a session. Once it has been hedged, the search no longer depends on it."""

    epoch: int
    address: str
    is_settled: bool = False  # it succeeded, or a further attempt has been started or scheduled


class SessionClient:
    """Maintains a session with one control-plane node, and fails over to another when it is unresponsive.

    Each search for a control-plane node has an epoch. Replies and timers of earlier epochs are ignored, so
    that at most one session is active at a time.
    """

    def __init__(self, runtime: Runtime, settings: Settings, node: LocalNode, gossip: GossipStore) -> None:
        self.runtime, self.settings, self.node, self.gossip = runtime, settings, node, gossip
        self.incarnation = f"{int(runtime.wall_clock() * 1000):x}{runtime.rng.getrandbits(16):04x}"
        self.state = "up"  # `up` or `leaving`
        self.control_address = ""  # of the control-plane node of the session; empty without a session
        # Whether all gossip entries confirmed by a majority have been read once; stays True.
        self.is_confirmed = False
        self._candidates: list[str] = seed_addresses(settings)
        self._attempts = 0  # selects the next candidate
        self._failures = 0  # failures since a session was last opened
        self._epoch = 0

    @property
    def id(self) -> str:
        """The node ID: `name/incarnation`."""
        return f"{self.settings.name}/{self.incarnation}"

    def begin(self) -> None:
        """Open the first session."""
        self.runtime.rng.shuffle(self._candidates)
        self._search()

    def update_control_nodes(self, members: Members) -> None:
        """Update the candidates: control-plane nodes of this zone first, then the others in random order.

        :param members: the Raft group of the control plane; ignored if empty.
        """
        zone = self.settings.zone
        same_zone = [member.address for member in members.values() if member.zone == zone]
        others = [member.address for member in members.values() if member.zone != zone]
        self.runtime.rng.shuffle(others)
        self._candidates = same_zone + others or self._candidates

    def add_seeds(self, addresses: list[str]) -> None:
        """Append addresses to the candidates."""
        self._candidates += [address for address in addresses if address not in self._candidates]

    def on_disconnect(self, address: str) -> None:
        """Search for another control-plane node immediately if the session was with this peer."""
        if address == self.control_address:
            self._lose_session()

    def leave(self) -> None:
        """Announce a planned shutdown without waiting for the next heartbeat."""
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
        """Try one control-plane node, and hedge with another after a delay: several may be unresponsive."""
        if epoch != self._epoch or self.control_address:
            return
        attempt = _Attempt(epoch, self._candidates[self._attempts % len(self._candidates)])
        self._attempts += 1
        on_reply = partial(self._on_open_reply, attempt)
        request(self.runtime, attempt.address, OpenSession(self._describe()), OPEN_TIMEOUT_S, on_reply)
        self.runtime.call_later(HEDGE_DELAY_S, partial(self._hedge, attempt))

    def _hedge(self, attempt: _Attempt) -> None:
        if not attempt.is_settled:
            attempt.is_settled = True
            self._try_next(attempt.epoch)

    def _on_open_reply(self, attempt: _Attempt, reply: Result[SessionReply, RequestFailure]) -> None:
        if attempt.epoch != self._epoch or self.control_address:
            return  # another attempt succeeded first
        if _is_usable(reply):
            attempt.is_settled = True
            self._start_session(attempt)
        elif not attempt.is_settled:
            attempt.is_settled = True
            self._retry_later()

    def _start_session(self, attempt: _Attempt) -> None:
        self.control_address = attempt.address
        self._failures = 0
        self.gossip.compare_with(attempt.address)
        self.runtime.call_later(HEARTBEAT_INTERVAL_S, partial(self._send_heartbeat, attempt.epoch))
        if not self.is_confirmed:
            self._read_current_state(attempt.epoch)

    def _retry_later(self) -> None:
        """Try the next control-plane node after an exponential backoff."""
        delay_s = min(MAX_RETRY_DELAY_S, MIN_RETRY_DELAY_S * RETRY_BACKOFF**self._failures)
        delay_s *= self.runtime.rng.uniform(*RETRY_JITTER)
        self._failures = min(self._failures + 1, MAX_COUNTED_FAILURES)
        self.runtime.call_later(delay_s, partial(self._try_next, self._epoch))

    # -- confirming the state

    def _read_current_state(self, epoch: int, after_key: str = "") -> None:
        """Read the state confirmed by a majority, page by page, before serving clients for the first time."""
        if epoch == self._epoch and not self.is_confirmed:
            message, on_reply = ReadCurrentState(after_key), partial(self._on_current_state, epoch)
            request(self.runtime, self.control_address, message, CURRENT_STATE_TIMEOUT_S, on_reply)

    def _on_current_state(self, epoch: int, reply: Result[CurrentStateReply, RequestFailure]) -> None:
        if self.is_confirmed or epoch != self._epoch:
            return
        if not isinstance(reply, Ok) or not reply.ok_value.is_confirmed:
            # This control-plane node cannot reach a majority, or is slow: try another one.
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
        if not _is_usable(reply):
            self._lose_session()
            return
        delay_s = max(0.0, HEARTBEAT_INTERVAL_S - (self.runtime.now() - sent_at_s))
        self.runtime.call_later(delay_s, partial(self._send_heartbeat, epoch))
