"""The replication state machine of one relay: holder, owner and successor. No I/O.

Outgoing messages are queued in `out` until the driver sends them; whatever must survive the process is
written through the store at once. Each call passes the monotonic time in microseconds; expiry times of
messages count in `wall_ms`. Results are reported to the `Host`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Protocol

from amberlug.copies import placement
from amberlug.copies.holder import HeldLog, Holder, Store, WireMessage
from amberlug.copies.owner import Owner, State
from amberlug.copies.states import Ballot, Kind, LogMetadata, MessageState, decode_ballot, decode_metadata
from amberlug.copies.takeover import Takeover, takeover_due_us
from amberlug.core.log import log as log_line
from amberlug.peers.fleet import Fleet

BEAT_US = 250_000
Watermark = tuple[int, ...]


class Host(Protocol):
    """The environment of the state machine."""

    def watermark(self) -> Watermark:
        """How much this relay's state directory has ever stored, as counters that never decrease."""

    def outdated_directory(self) -> None:
        """The state directory is older than other relays have seen it: nothing in it may be relied on."""

    def wall_ms(self) -> int:
        """Wall-clock time."""

    def random_fraction(self) -> float:
        """A random number from 0 to 1."""

    def committed(self, log: str, name: str) -> None:
        """All records made so far of a message are committed."""

    def adopted(self, log: str, copies: dict[str, MessageState]) -> None:
        """Resume the messages of a log that this relay has taken over, once their state is committed."""

    def superseded(self, log: str, names: list[str], kept: bool) -> None:
        """Stop work on the messages of a log that another relay has taken over.

        `kept`: whether the messages are stored here as a holder stores them; only then may the relay's own
        journal drop them.
        """

    def watermark_observed(self, name: str, incarnation: str, watermark: Watermark) -> None:
        """Persist another relay's watermark, if there is room."""

    def until_ms(self, name: str) -> int:
        """Expiry of the name of a message that has ended here or is unknown here."""

    def opened(self, meta: LogMetadata, older: dict[str, list[str]]) -> None:
        """Persist that a log is the newest, and which messages are in older ones; `OSError` if that fails."""


@dataclass(slots=True)
class PeerStatus:
    """Another relay as observed from here; times are of this relay's clock."""

    incarnation: str = ""
    linked: bool = False  # messages to it can be sent
    heard_us: int | None = None
    watermark: dict[str, Watermark] = field(default_factory=dict)  # highest observed, by its incarnation


class Machine:
    """One relay's part as holder, owner and successor."""

    def __init__(
        self, fleet: Fleet, incarnation: str, store: Store, host: Host, now_us: int, fresh: bool
    ) -> None:
        self.fleet, self.name, self.incarnation, self._host = fleet, fleet.name, incarnation, host
        self.holder = Holder(fleet.name, incarnation, store)
        self.peers = {member.name: PeerStatus() for member in fleet.members if member.name != fleet.name}
        self.owners: dict[str, Owner] = {}  # by log name
        self.takeovers: dict[str, Takeover] = {}
        self.newest: dict[int, str] = {}  # by write quorum: the log that accepts new messages
        self.out: list[tuple[str, WireMessage]] = []
        # Of this relay's state directory:
        self.confirmed = fresh  # whether enough other relays have reported that they saw no more of it
        self._confirming: set[str] = set()
        self._retry_us: dict[str, int] = {}  # by log: earliest time of the next take-over attempt
        # By log: the highest ballot number that this relay's ballot lost against.
        self._lost_to_ballot: dict[str, int] = {}
        self._started_us = self._beat_us = now_us
        self.outdated = False  # the state directory was found to be outdated: all input is ignored

    @property
    def _most_copies(self) -> int:
        return max([self.fleet.copies, *self.fleet.classes.values()])

    # The relay's own logs.

    def own(self, meta: LogMetadata) -> Owner:
        """Own a log under its origin's ballot."""
        return self._create_owner(meta, meta.origin_ballot, self.name)

    def reopen(
        self,
        meta: LogMetadata,
        copies: dict[str, MessageState],
        ended: dict[str, int],
        newest: bool,
        now_us: int,
    ) -> None:
        """Reopen a log of an earlier process, with its live messages and the expiry of ended ones."""
        owner = self.own(meta)
        owner.ended = ended
        if newest:
            self.newest[meta.write_quorum] = meta.log
        for name, copy in copies.items():
            owner.adopt(name, copy, now_us)
        held_log = self.holder.logs.get(meta.log)
        if held_log is not None and held_log.promised > owner.ballot:  # taken over before the restart
            owner.state = State.FENCED
            self._superseded(owner, held_log.promised)

    def _create_owner(self, meta: LogMetadata, ballot: Ballot, kept: str | None) -> Owner:
        owner = Owner(
            meta, ballot, kept, self._send, partial(self._host.committed, meta.log), self._superseded
        )
        self.owners[meta.log] = owner
        if kept is None and meta.incarnation_of(self.name) == self.incarnation:
            owner.linked(self.name)
        for name, peer in self.peers.items():
            if name in owner.holders and peer.linked and peer.incarnation == meta.incarnation_of(name):
                owner.linked(name)
        return owner

    def log_for(self, copies: int, now_us: int) -> Owner | None:
        """The log for messages that `copies` other relays must hold.

        None if too few are reachable, and while this relay's state directory is unconfirmed. If a new log
        could not be created, the previous one, if any.
        """
        if not self.confirmed:
            return None
        owner = self.owners.get(self.newest.get(copies + 1, ""))
        if owner is not None and owner.state is not State.FENCED and not self._has_lost_holder(owner, now_us):
            return owner
        present = {name for name, peer in self.peers.items() if peer.linked}
        known = {name for name, peer in self.peers.items() if peer.incarnation}
        names = placement.ensemble(self.name, self.fleet.own, self.fleet.members, present, known, copies)
        serves = owner is not None and owner.state is not State.FENCED
        if not names or (serves and not present.issuperset(names)):
            return owner if serves else None  # replacing a lost holder by an unreachable one gains nothing
        # Random: a state directory restored from a copy must not reuse a number.
        serial = int(self._host.random_fraction() * (1 << 52))
        others = tuple((name, self.peers[name].incarnation) for name in names)
        ensemble = ((self.name, self.incarnation), *others)
        meta = LogMetadata(self.name, self.incarnation, serial, copies + 1, ensemble)
        older = {
            log: list(owned.copies)
            for log, owned in self.owners.items()
            if owned.ballot == owned.meta.origin_ballot
        }
        try:
            self._host.opened(meta, older)
        except OSError as error:
            log_line(f"copies: could not create a new replication log: {error}")
            return owner
        self.newest[meta.write_quorum] = meta.log
        return self.own(meta)

    def _has_lost_holder(self, owner: Owner, now_us: int) -> bool:
        """Whether a holder of the log is lost for good, or unreachable for long enough to be replaced."""
        return bool(self._lost_holders(owner, now_us))

    def _lost_holders(self, owner: Owner, now_us: int) -> set[str]:
        replace_us = int(self.fleet.replace_s * 1e6)
        lost = set()
        for name, holder in owner.holders.items():
            peer = self.peers.get(name)
            if peer is None:
                continue
            other = peer.linked and peer.incarnation != owner.meta.incarnation_of(name)
            away = (
                holder.away_since_us is not None
                and now_us - max(holder.away_since_us, self._started_us) > replace_us
            )
            if other or away:
                lost.add(name)
        return lost

    # Links.

    def connected(self, name: str, incarnation: str, now_us: int) -> None:
        """A link to another relay is up; `incarnation` identifies its state directory."""
        peer = self.peers.get(name)
        if peer is None:
            return
        if peer.incarnation and peer.incarnation != incarnation:
            log_line(f"copies: {name} has another state directory than before")
            self.disconnected(name, now_us)
        peer.incarnation, peer.linked = incarnation, True
        self._send_watermark(name)
        for owner in self.owners.values():
            if owner.meta.incarnation_of(name) == incarnation:
                owner.linked(name)
        for takeover in self.takeovers.values():
            if takeover.meta.incarnation_of(name) == incarnation:
                takeover.ask(name)

    def _send_watermark(self, name: str) -> None:
        """Tell another relay the highest watermark observed of its state directory."""
        peer = self.peers[name]
        self._send(name, ["water", list(peer.watermark.get(peer.incarnation, ()))])

    def disconnected(self, name: str, now_us: int) -> None:
        """The link to another relay is down."""
        peer = self.peers.get(name)
        if peer is None or not peer.linked:
            return
        peer.linked = False
        for owner in self.owners.values():
            if name in owner.holders:
                owner.lost(name, now_us)
                owner.flush(now_us)

    def _send(self, name: str, message: WireMessage) -> None:
        self.out.append((name, message))

    def receive(
        self, name: str, incarnation: str, watermark: Sequence[int], message: Any, now_us: int
    ) -> None:
        """Handle a message, sent with its sender's watermark at the time of sending.

        Raises `ValueError` if it is malformed; messages before it stay applied.
        """
        if self.outdated:
            return
        peer = self.peers.get(name)
        if peer is not None:
            peer.heard_us = now_us
            if not peer.linked:
                peer.incarnation = incarnation
            # Every frame carries it, so whoever holds a record knows a watermark that includes it.
            self._note_watermark(name, incarnation, watermark)
        elif name != self.name:
            raise ValueError(f"unknown relay {name!r}")
        try:
            handler = self._handlers[message[0]]
        except (KeyError, TypeError, IndexError):
            raise ValueError("unknown message type") from None
        if not self.confirmed and message[0] != "water":
            return  # the sender repeats it
        try:
            handler(self, name, incarnation, now_us, *message[1:])
        except TypeError as error:
            raise ValueError(f"malformed message: {error}") from None

    # Watermarks, and messages for the holder.

    def _on_watermark(self, name: str, peer_incarnation: str, now_us: int, observed: list[int]) -> None:
        """A relay reports the highest watermark it has observed of this one's state directory."""
        if any(mine < highest for mine, highest in zip(self._host.watermark(), observed, strict=False)):
            # Guards against a restored backup: what this relay accepted, did and promised since is missing.
            log_line(f"copies: this state directory is outdated: {name} has seen newer data of it")
            self.outdated = True
            self._host.outdated_directory()
            return
        self._confirming.add(name)
        self._confirm(now_us)

    def _confirm(self, now_us: int) -> None:
        """Rely on this relay's state directory once enough other relays have seen no more than it holds."""
        # One more relay than must hold a record: any that many of the possible holders include one that saw
        # the last record. If a machine is lost while this one restarts, this waits, at most `confirm_s`.
        patient = now_us - self._started_us < int(self.fleet.confirm_s * 1e6)
        wanted = min(len(self.peers), self._most_copies + patient)
        if len(self._confirming) >= max(1, wanted):
            self.confirmed = True

    def _note_watermark(self, name: str, peer_incarnation: str, watermark: Sequence[int]) -> None:
        peer = self.peers[name]
        before = peer.watermark.get(peer_incarnation, ())
        highest = tuple(
            max(pair) for pair in zip(map(int, watermark), before or map(int, watermark), strict=False)
        )
        if highest != before:
            peer.watermark = {peer_incarnation: highest}
            self._host.watermark_observed(name, peer_incarnation, highest)

    def _on_open(self, name: str, peer_incarnation: str, now_us: int, meta: Any, ballot: Any) -> None:
        log_meta, by = decode_metadata(meta), decode_ballot(ballot)
        answer = self.holder.open(log_meta, by)
        self._send(name, answer)
        if not answer[3]:
            for part in self.holder.live(log_meta.log, by):
                self._send(name, part)

    def _on_records(
        self,
        name: str,
        peer_incarnation: str,
        now_us: int,
        log: str,
        ballot: Any,
        number: int,
        batch: list[Any],
    ) -> None:
        self._send(name, self.holder.records(log, decode_ballot(ballot), int(number), batch))

    def _on_fence(self, name: str, peer_incarnation: str, now_us: int, meta: Any, ballot: Any) -> None:
        log_meta, by = decode_metadata(meta), decode_ballot(ballot)
        for part in self.holder.fence(log_meta, by, self.is_owner_active(log_meta, now_us), now_us):
            self._send(name, part)

    def is_owner_active(self, meta: LogMetadata, now_us: int) -> bool:
        """Whether a log's owner was heard from recently, or is this relay and owns it."""
        since = self._inactive_since(meta, self.holder.logs.get(meta.log), now_us)
        return since is None or now_us - since < int(self.fleet.suspect_s * 1e6)

    def _inactive_since(self, meta: LogMetadata, held_log: HeldLog | None, now_us: int) -> int | None:
        """Since when a log's owner has been inactive; None if it is active."""
        name, incarnation = held_log.owner if held_log is not None else (meta.origin, meta.incarnation)
        if name == self.name:
            return None if meta.log in self.owners else 0
        peer = self.peers.get(name)
        if peer is None or (peer.incarnation and peer.incarnation != incarnation):
            return 0  # its state directory is gone
        # After a restart, silence counts from the start: no relay could be heard before.
        heard = max(peer.heard_us or 0, self._started_us)
        # The relay this log is promised to has not opened it here: it counts as silent since the promise.
        if held_log is not None and not held_log.opened_by_owner:
            return max(min(heard, held_log.since_us), self._started_us)
        return None if now_us - heard < BEAT_US else heard

    def _on_leave(self, name: str, peer_incarnation: str, now_us: int, log: str | None) -> None:
        self.holder.leave(name, peer_incarnation, log)

    def _on_drop(self, name: str, peer_incarnation: str, now_us: int, log: str) -> None:
        held_log = self.holder.logs.get(log)
        if held_log is not None and held_log.owner == (name, peer_incarnation) and log not in self.owners:
            self.holder.drop(log)

    # Messages for the owner and the successor.

    def _on_opened(
        self, name: str, peer_incarnation: str, now_us: int, log: str, ballot: Any, why: str, more: Any
    ) -> None:
        owner = self.owners.get(log)
        if (
            owner is None
            or owner.ballot != decode_ballot(ballot)
            or owner.meta.incarnation_of(name) != peer_incarnation
        ):
            return
        owner.opened(name, why, None if more is None else decode_ballot(more), now_us)
        owner.flush(now_us)

    def _on_live(
        self, name: str, peer_incarnation: str, now_us: int, log: str, ballot: Any, names: list[str] | None
    ) -> None:
        owner = self.owners.get(log)
        if (
            owner is None
            or owner.ballot != decode_ballot(ballot)
            or owner.meta.incarnation_of(name) != peer_incarnation
        ):
            return
        if names is None:
            owner.holders[name].settled = owner.holders[name].opened
        else:
            owner.settle([str(message) for message in names], self._host.until_ms, now_us)

    def _on_ack(self, name: str, peer_incarnation: str, now_us: int, log: str, number: int) -> None:
        owner = self.owners.get(log)
        if owner is not None and owner.meta.incarnation_of(name) == peer_incarnation:
            owner.acknowledged(name, int(number))
            owner.flush(now_us)

    def _on_nack(
        self, name: str, peer_incarnation: str, now_us: int, log: str, number: int, why: str, more: Any
    ) -> None:
        owner = self.owners.get(log)
        if owner is not None and owner.meta.incarnation_of(name) == peer_incarnation:
            owner.refused(name, int(number), why, None if more is None else decode_ballot(more), now_us)

    def _on_state(
        self,
        name: str,
        peer_incarnation: str,
        now_us: int,
        log: str,
        ballot: Any,
        part: int,
        states: list[Any],
    ) -> None:
        if (takeover := self._takeover_for(log, ballot, name, peer_incarnation)) is not None:
            takeover.state(name, int(part), states)
            self._finish_takeover(takeover, now_us)

    def _on_promise(
        self, name: str, peer_incarnation: str, now_us: int, log: str, ballot: Any, parts: int
    ) -> None:
        if (takeover := self._takeover_for(log, ballot, name, peer_incarnation)) is not None:
            takeover.promise(name, int(parts))
            self._finish_takeover(takeover, now_us)

    def _takeover_for(self, log: str, ballot: Any, name: str, peer_incarnation: str) -> Takeover | None:
        """The take-over attempt that an answer belongs to, if its sender's incarnation is the log's."""
        takeover = self.takeovers.get(log)
        if takeover is None or takeover.ballot != decode_ballot(ballot):
            return None
        return takeover if takeover.meta.incarnation_of(name) == peer_incarnation else None

    def _on_deny(
        self, name: str, peer_incarnation: str, now_us: int, log: str, ballot: Any, why: str, more: Any
    ) -> None:
        takeover = self.takeovers.get(log)
        if takeover is None or takeover.ballot != decode_ballot(ballot):
            return
        if why == "followed":  # promised to a higher ballot
            del self.takeovers[log]
            self._delay_takeover(log, now_us)
            if more is not None:
                self._lost_to_ballot[log] = max(self._lost_to_ballot.get(log, 0), decode_ballot(more)[0])

    _handlers: dict[str, Callable[..., None]] = {  # noqa: RUF012 - one constant table for all instances
        "open": _on_open,
        "recs": _on_records,
        "fence": _on_fence,
        "leave": _on_leave,
        "drop": _on_drop,
        "opened": _on_opened,
        "live": _on_live,
        "ack": _on_ack,
        "nack": _on_nack,
        "water": _on_watermark,
        "state": _on_state,
        "promise": _on_promise,
        "deny": _on_deny,
    }

    def _delay_takeover(self, log: str, now_us: int) -> None:
        self._retry_us[log] = now_us + int((0.3 + self._host.random_fraction()) * self.fleet.suspect_s * 5e5)

    # Take-over.

    def start_takeover(self, meta: LogMetadata, now_us: int) -> None:
        """Ask the ensemble for the promises that make this relay a log's owner."""
        held_log = self.holder.logs.get(meta.log)
        number = (
            max(held_log.promised[0] if held_log is not None else 0, self._lost_to_ballot.get(meta.log, 0))
            + 1
        )
        ballot = (number, self.name, self.incarnation)
        owner = (held_log.promised if held_log is not None else meta.origin_ballot)[1]
        log_line(f"copies: attempting take-over from {owner} of log {meta.log}")
        takeover = self.takeovers[meta.log] = Takeover(meta, ballot, now_us, self._send)
        for name, incarnation in meta.ensemble:
            peer = self.peers.get(name)
            if name == self.name or (peer is not None and peer.linked and peer.incarnation == incarnation):
                takeover.ask(name)

    def _finish_takeover(self, takeover: Takeover, now_us: int) -> None:
        if not takeover.complete:
            return
        log = takeover.meta.log
        del self.takeovers[log]
        if log in self.owners and self.owners[log].ballot >= takeover.ballot:
            return
        copies = takeover.read()
        forgotten_ms = self._host.wall_ms() - int(self.fleet.remember_s * 1000)
        live = {
            name: copy
            for name, copy in copies.items()
            if copy.live and (copy.taken is None or int(copy.taken[5]) > forgotten_ms)
        }
        log_line(f"copies: took over log {log}, {len(live)} messages")
        owner = self._create_owner(takeover.meta, takeover.ballot, None)
        for name, copy in live.items():
            owner.adopt(name, copy, now_us)
        self._host.adopted(log, live)
        owner.flush(now_us)

    def _superseded(self, owner: Owner, by: Ballot) -> None:
        """Another relay has taken over a log of this one's."""
        log = owner.meta.log
        if self.owners.get(log) is owner:
            del self.owners[log]
        for write_quorum, newest in list(self.newest.items()):
            if newest == log:
                del self.newest[write_quorum]
        known, kept = owner.known(), True
        log_line(f"copies: fenced: {by[1]} has taken over log {log}, {len(known)} messages")
        if owner.ballot == owner.meta.origin_ballot:
            try:
                self.holder.hold_superseded(owner.meta, by, known)
            except OSError as error:
                log_line(f"copies: the state of {log} could not be stored for its new owner: {error}")
                kept = False
        self._host.superseded(log, list(known), kept)

    # Time.

    def tick(self, now_us: int) -> None:
        """Run timeouts, retries and take-overs; call several times a second."""
        if now_us - self._beat_us >= BEAT_US:
            self._beat_us = now_us
            for name, peer in self.peers.items():
                if peer.linked:
                    self._send_watermark(name)
            before_ms = self._host.wall_ms() - int(self.fleet.remember_s * 1000)
            self.holder.expire(before_ms)
            for owner in self.owners.values():
                owner.expire(before_ms)
        for owner in list(self.owners.values()):
            owner.tick(now_us)
        for log, takeover in list(self.takeovers.items()):
            if now_us > takeover.until_us:
                del self.takeovers[log]
                self._delay_takeover(log, now_us)
        if not self.confirmed:
            self._confirm(now_us)
        for held_log in self._takeover_candidates(now_us) if self.confirmed else ():
            self.start_takeover(held_log.meta, now_us)

    def _takeover_candidates(self, now_us: int) -> Iterator[HeldLog]:
        """Logs whose owner this relay may try to replace by now."""
        present = {name for name, peer in self.peers.items() if peer.linked}
        suspect_us, stagger_us = int(self.fleet.suspect_s * 1e6), int(self.fleet.stagger_s * 1e6)
        for log, held_log in list(self.holder.logs.items()):
            if log in self.takeovers or log in self.owners or now_us < self._retry_us.get(log, 0):
                continue
            if not any(copy.live for copy in held_log.copies.values()):
                continue
            since = self._inactive_since(held_log.meta, held_log, now_us)
            mine = held_log.owner[0] == self.name
            due = takeover_due_us(held_log, self.name, present, since, 0 if mine else suspect_us, stagger_us)
            if due is not None and due <= now_us:
                yield held_log

    def leave(self) -> None:
        """Announce a clean shutdown, so that other relays may take over without waiting."""
        for name, peer in self.peers.items():
            if peer.linked:
                self._send(name, ["leave", None])

    def retire(self) -> None:
        """Delete older logs that have no live messages."""
        for log, owner in list(self.owners.items()):
            # Guards against a holder that was away and still has as live what all others have forgotten.
            if owner.done and owner.settled and log not in self.newest.values() and owner.state is State.OPEN:
                del self.owners[log]
                for name in owner.holders:
                    self._send(name, ["drop", log])


__all__ = ["Host", "Kind", "Machine", "PeerStatus"]
