"""Dissemination of versioned announcements among all nodes, with anti-entropy. No I/O.

Control-plane nodes push announcements to all nodes that have a session with them. Edge nodes send only the
versions to a few random peers, which fetch those that they lack: by then, nearly all have them, and traffic
between zones is expensive. Each node compares its digest with one peer after another, which repairs lost
updates.

The newest version of a key wins regardless of the order of arrival, so that all nodes converge to the same
state.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from functools import partial

from result import Ok, Result

from amberlug.cluster.gossip.announcements import (
    PAGE_ITEMS,
    Announcement,
    AnnouncementMap,
    Page,
    Payload,
    Version,
    VersionedValue,
)
from amberlug.cluster.gossip.messages import (
    Acknowledgement,
    DigestReply,
    DigestRequest,
    FetchReply,
    FetchRequest,
    Update,
    VersionNotice,
)
from amberlug.cluster.interfaces import RequestFailure, Runtime
from amberlug.cluster.rpc.messages import Responder, handles, request, send
from amberlug.cluster.values import value

ANTI_ENTROPY_INTERVAL_S = 1.0  # between comparisons with successive peers
FANOUT = 2  # number of peers that an edge node notifies of new versions
NOTICE_DELAY_S = 0.05  # before the notice; peers receive most versions from the control plane meanwhile
DIGEST_TIMEOUT_S = 1.0
TRANSFER_TIMEOUT_S = 5.0  # per page; a large page takes 2.2 s over a link of 15 Mbit/s
VERSIONS_PER_MESSAGE = 10_000


def _no_keys(peer: str) -> Collection[str]:
    return ()


@value
class DisseminationPolicy:
    """How new announcements are disseminated.

    :param fanout: number of peers to notify of new versions.
    :param push_to_all: whether to send new announcements to all peers instead of notifying a few.
    :param replicated_keys: returns the keys that this node and the peer at an address replicate by other
        means; they are neither sent to that peer nor fetched from it.
    """

    fanout: int = FANOUT
    push_to_all: bool = False
    replicated_keys: Callable[[str], Collection[str]] = _no_keys


DEFAULT_POLICY = DisseminationPolicy()


@value
class _PendingFetch:
    """A version that was requested and has not arrived yet."""

    peer: str
    version: Version


class GossipStore:
    """The announcements known to this node, and their exchange with peers.

    :param peers: returns the addresses of the peers.
    :param on_update: called with the key and value of each new announcement.
    :param policy: how new announcements are disseminated.
    """

    def __init__(
        self,
        runtime: Runtime,
        peers: Callable[[], list[str]],
        on_update: Callable[[str, Payload], None],
        policy: DisseminationPolicy = DEFAULT_POLICY,
    ) -> None:
        self.runtime, self._peers, self._on_update, self._policy = runtime, peers, on_update, policy
        self._announcements = AnnouncementMap()
        self._pending_fetches: dict[str, _PendingFetch] = {}
        self._unsent: dict[str, VersionedValue] = {}  # new since the last dissemination
        self._comparisons = 0

    @property
    def items(self) -> Mapping[str, VersionedValue]:
        """The newest known versioned value of each key."""
        return self._announcements.items

    @property
    def digest(self) -> str:
        """The digest of all known versions, in hexadecimal."""
        return f"{self._announcements.digest:x}"

    def begin(self) -> None:
        """Start anti-entropy after a random delay, so that nodes started together do not run in step."""
        first_delay_s = self.runtime.rng.uniform(0.2, 1.0) * ANTI_ENTROPY_INTERVAL_S
        self.runtime.call_later(first_delay_s, self._run_anti_entropy)

    def announcements(self) -> list[Announcement]:
        """Return all announcements, in the order in which their keys became known."""
        return list(self._announcements)

    def page_after(self, after: str) -> Page:
        """Return one page of the announcements whose keys follow `after`."""
        return self._announcements.page_after(after)

    # -- announcements

    def offer(self, key: str, version: Version, value: Payload) -> bool:
        """Apply and disseminate an announcement; returns False if the known version is at least as new."""
        if not self._announcements.keep_if_newer(key, version, value):
            return False
        if not self._unsent:
            self.runtime.call_later(0.0 if self._policy.push_to_all else NOTICE_DELAY_S, self._disseminate)
        self._unsent[key] = VersionedValue(version, value)
        self._on_update(key, value)
        return True

    def apply(self, announcements: Iterable[Announcement]) -> None:
        """Apply and disseminate several announcements."""
        for announcement in announcements:
            self.offer(*announcement)

    def _disseminate(self) -> None:
        unsent, self._unsent = self._unsent, {}
        if self._policy.push_to_all:
            self._push(unsent)
        else:
            self._notify({key: item.version for key, item in unsent.items()})

    def _push(self, unsent: Mapping[str, VersionedValue]) -> None:
        for peer in self._peers():
            skipped = self._policy.replicated_keys(peer)
            self._send_pages(
                peer, [Announcement(key, *item) for key, item in unsent.items() if key not in skipped]
            )

    def _notify(self, versions: Mapping[str, Version]) -> None:
        rows = list(versions.items())
        peers = self._peers()
        for peer in self.runtime.rng.sample(peers, min(len(peers), self._policy.fanout)):
            for start in range(0, len(rows), VERSIONS_PER_MESSAGE):
                send(self.runtime, peer, VersionNotice(dict(rows[start : start + VERSIONS_PER_MESSAGE])))

    def _send_pages(self, peer: str, announcements: list[Announcement]) -> None:
        """Send pages one at a time, so that heartbeats do not queue behind all of them on the connection."""
        if not announcements:
            return
        page, rest = self._announcements.split_page(announcements)
        if not rest:
            send(self.runtime, peer, Update(page))
            return
        on_reply = partial(self._on_page_acknowledged, peer, rest)
        request(self.runtime, peer, Update(page), TRANSFER_TIMEOUT_S, on_reply)

    def _on_page_acknowledged(
        self, peer: str, rest: list[Announcement], reply: Result[Acknowledgement, RequestFailure]
    ) -> None:
        if isinstance(reply, Ok):  # otherwise, the next anti-entropy comparison repairs the rest
            self._send_pages(peer, rest)

    @handles(Update)
    def on_update_message(self, message: Update, origin: str, respond: Responder) -> None:
        """Apply the announcements that a peer has pushed."""
        self.apply(message.announcements)
        respond(Acknowledgement())

    @handles(VersionNotice)
    def on_version_notice(self, message: VersionNotice, origin: str, respond: Responder) -> None:
        """Fetch newer versions from the sender."""
        self._fetch_missing(origin, message.versions)

    # -- anti-entropy

    def _run_anti_entropy(self) -> None:
        self.runtime.call_later(ANTI_ENTROPY_INTERVAL_S, self._run_anti_entropy)
        peers = self._peers()
        if peers:
            self._comparisons += 1
            self.compare_with(peers[self._comparisons % len(peers)])

    def compare_with(self, peer: str, after: str = "") -> None:
        """Compare the keys that follow `after` with a peer, and exchange what either side lacks."""
        on_reply = partial(self._on_digest_reply, peer, after)
        request(self.runtime, peer, DigestRequest(self.digest, after), DIGEST_TIMEOUT_S, on_reply)

    def _on_digest_reply(self, peer: str, after: str, reply: Result[DigestReply, RequestFailure]) -> None:
        if not isinstance(reply, Ok) or reply.ok_value.versions is None:
            return
        peer_versions, next_after = reply.ok_value.versions, reply.ok_value.next_after
        skipped = self._policy.replicated_keys(peer)
        self._send_pages(peer, self._newer_than(peer_versions, after, next_after, skipped))
        wanted = {key: version for key, version in peer_versions.items() if key not in skipped}
        self._fetch_missing(peer, wanted)
        if next_after:
            self.compare_with(peer, next_after)

    def _newer_than(
        self, versions: Mapping[str, Version], after: str, last: str, skipped: Collection[str]
    ) -> list[Announcement]:
        """Return the announcements that are newer than `versions`, for keys in (after, last].

        An empty `last` means no upper limit.
        """
        return [
            announcement
            for announcement in self._announcements
            if after < announcement.key
            and (not last or announcement.key <= last)
            and announcement.key not in skipped
            and (announcement.key not in versions or versions[announcement.key] < announcement.version)
        ]

    @handles(DigestRequest)
    def on_digest_request(self, message: DigestRequest, origin: str, respond: Responder) -> None:
        """Reply with the known versions, or with None if the digests are equal."""
        if message.digest == self.digest:
            respond(DigestReply(None))
        else:
            respond(DigestReply(*self._announcements.versions_after(message.after, VERSIONS_PER_MESSAGE)))

    # -- fetching

    def _fetch_missing(self, peer: str, versions: Mapping[str, Version]) -> None:
        """Fetch newer versions from a peer, except those already requested from it."""
        missing = [
            key
            for key, version in versions.items()
            if self._announcements.lacks(key, version)
            and self._pending_fetches.get(key) != _PendingFetch(peer, version)
        ]
        self._pending_fetches |= {key: _PendingFetch(peer, versions[key]) for key in missing}
        self._fetch(peer, missing)

    def _fetch(self, peer: str, keys: list[str]) -> None:
        """Fetch announcements from a peer, one page at a time."""
        if not keys:
            return
        requested, later = keys[:PAGE_ITEMS], keys[PAGE_ITEMS:]
        on_reply = partial(self._on_fetch_reply, peer, requested, later)
        request(self.runtime, peer, FetchRequest(requested), TRANSFER_TIMEOUT_S, on_reply)

    def _on_fetch_reply(
        self, peer: str, requested: list[str], later: list[str], reply: Result[FetchReply, RequestFailure]
    ) -> None:
        remaining: list[str] = []
        if isinstance(reply, Ok):
            self.apply(reply.ok_value.announcements)
            postponed = list(reply.ok_value.remaining_keys)
            # If the peer postpones all keys, stop: the same request would be repeated endlessly.
            remaining = (postponed if len(postponed) < len(requested) else []) + later
        self._clear_pending(peer, {*requested, *later} - set(remaining))
        self._fetch(peer, remaining)

    def _clear_pending(self, peer: str, keys: Iterable[str]) -> None:
        for key in sorted(keys):
            pending = self._pending_fetches.get(key)
            if pending is not None and pending.peer == peer:
                del self._pending_fetches[key]

    @handles(FetchRequest)
    def on_fetch_request(self, message: FetchRequest, origin: str, respond: Responder) -> None:
        """Reply with the requested announcements that fit into one message."""
        items = self._announcements.items
        requested = [Announcement(key, *items[key]) for key in message.keys if key in items]
        page, rest = self._announcements.split_page(requested)
        respond(FetchReply(page, [announcement.key for announcement in rest]))
