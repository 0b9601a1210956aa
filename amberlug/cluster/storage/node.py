"""A store: keeps messages for the shards' owners, and refuses owners that are no longer. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from absl import logging

from amberlug.cluster.gossip.store import DisseminationPolicy, GossipStore
from amberlug.cluster.interfaces import Disk, Json, Respond, Runtime, on
from amberlug.cluster.node_status import StorageStatus
from amberlug.cluster.rpc.messages import handlers_of
from amberlug.cluster.session_client import LocalNode, SessionClient, seed_addresses
from amberlug.cluster.settings import Settings
from amberlug.cluster.storage.group_commit import Row
from amberlug.cluster.storage.message_store import StoredContents, StoredMessage

SWEEP_S = 2.0  # between looks for ended messages that nobody asks for any more
WITH_BODIES = 1 << 20  # bytes of bodies that go along with what a new owner reads


class MessageStore(Disk, Protocol):
    """A disk whose messages' bodies can be read."""

    def read(self, names: list[str], then: Callable[[dict[str, bytes]], None]) -> None: ...


class StorageNode:
    """One store machine."""

    def __init__(
        self,
        world: Runtime,
        settings: Settings,
        address: str,
        message_store: MessageStore,
        contents: StoredContents,
    ) -> None:
        self.world, self.settings, self.message_store = world, settings, message_store
        self.disk, self.fences, self.kept = contents.disk, contents.fences, contents.kept
        self.enrolled = (
            contents.enrolled
        )  # index of the newest roster that this disk was seen in, once it knows
        # the owners of the time at which it came
        self.gossip = GossipStore(
            world,
            lambda: [self.member.control_address] if self.member.control_address else [],
            self._heard,
            DisseminationPolicy(fanout=0),
        )
        self.member = SessionClient(world, settings, LocalNode(address, "storage", self._extra), self.gossip)
        self.handlers = {**handlers_of(self), **handlers_of(self.gossip), **handlers_of(StorageStatus(self))}
        self.counts: dict[str, int] = {}
        self.full = False
        if contents.spoilt:
            logging.error(
                "%d messages on this disk have a wrong check sum and are passed over", len(contents.spoilt)
            )

    def begin(self) -> None:
        self.member.begin()
        self.gossip.begin()
        self.world.call_later(SWEEP_S, self._sweep)

    def leave(self) -> None:
        """A planned end: nothing is owed here that a later start would not still have."""

    @property
    def idle(self) -> bool:
        """Whether a process that was told to end may end."""
        return True

    def settings_are(self, settings: Settings) -> None:
        """Take a settings file that has changed."""
        self.settings = self.member.settings = settings
        self.member.add_seeds(seed_addresses(settings))

    def broken(self, address: str) -> None:
        self.member.on_disconnect(address)

    def _extra(self) -> Json:
        return {"disk": self.disk, "enrolled": self.enrolled > 0}

    def _heard(self, key: str, value: Json) -> None:
        if key == "cores":
            self.member.apply_roster(value)
        elif key in ("roster", "shards") and "roster" in self.gossip.items:
            (index, *_), roster = self.gossip.items["roster"]
            self._roster_is(index, roster)

    def _roster_is(self, index: int, roster: Json) -> None:
        if index <= self.enrolled:
            return
        if self.disk in roster:
            fences = [] if self.enrolled else self._joins(roster[self.disk].get("table", 0))
            if fences is not None:
                self.enrolled = index
                self.message_store.write([*fences, ("enrolled", (index,))], lambda error: None)
        elif self.enrolled:
            # Others have taken its place: what it holds may have ended long since, and is not asked for.
            logging.warning("this disk is on the roster no longer: it is emptied and taken for another one")
            self.disk, self.enrolled = f"{self.world.chance.getrandbits(64):x}", 0
            self.kept.clear()
            self.message_store.write([("anew", (self.disk,))], lambda error: None)

    def _joins(self, table: int) -> list[Row] | None:
        """Refuse who owned shards before this disk was on the roster; None while that is not known here.

        An owner fences the stores of the roster that its table was agreed on, so it never was here if this
        disk came later. Else an owner of before, which wakes and hears of new stores before it hears of the
        new table, finds enough of them that know of no fence: nobody learns of what it accepts.
        """
        at, value = self.gossip.items.get("shards", ([0], {"shards": []}))
        if at[0] < table:
            return None
        rows: list[Row] = []
        for number, (_, epoch, _) in enumerate(value["shards"]):
            if epoch > self.fences.get(number, 0):
                self.fences[number] = epoch
                rows.append(("fence", (number, epoch)))
        return rows

    def _count(self, name: str, by: int = 1) -> None:
        self.counts[name] = self.counts.get(name, 0) + by

    def _fenced(self, shard: int, epoch: int) -> bool:
        return epoch < self.fences.get(shard, 0)

    @on("put")
    def on_put(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        """Keep a message; the answer says that it lasts."""
        name, shard, epoch = body["id"], body["shard"], body["epoch"]
        if self._fenced(shard, epoch):
            self._count("fenced")
            respond({"fenced": self.fences[shard]}, b"")
            return
        if not self.enrolled:
            self._count("put before it is enrolled")
            respond({"early": True}, b"")
            return
        known = self.kept.get(name)
        if known is not None and known.end:
            respond({"ok": True, "disk": self.disk, "end": known.end, "seal": known.seal}, b"")
            return
        # A message that a later owner copies once more keeps the place that it was accepted at.
        number, seq = body["order"]
        disk = self.disk
        kept = StoredMessage(
            shard, number, seq, body["meta"], len(blob), lasts=known is not None and known.lasts
        )
        self.kept[name] = kept  # at once, so that an owner who comes now finds it

        def done(error: str | None) -> None:
            if disk != self.disk:  # it was emptied meanwhile, this message with it
                respond({"early": True}, b"")
                return
            if error is None:
                self.full = False
                self._count("put")
                # Guards against a second put of it: what comes of the one must not undo the other.
                self.kept.setdefault(name, kept).lasts = True
                respond({"ok": True, "disk": disk}, b"")
                return
            if not self.full:
                logging.error("a message can't be kept: %s", error)
            self.full = True
            now = self.kept.get(name)
            if now is not None and not now.lasts and not now.end:
                del self.kept[name]
            respond({"full": True}, b"")

        self.message_store.write([("put", (name, shard, kept.epoch, kept.seq, kept.meta, blob))], done)

    @on("marks")
    def on_marks(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        """Keep how messages ended. An end is a fact: no fence stands against it."""
        rows = []
        for name, shard, end, seal, at in body["marks"]:
            known = self.kept.get(name)
            if known is None:
                self.kept[name] = StoredMessage(shard, 0, 0, {}, 0, end, seal, at)
            elif known.end:
                continue
            else:
                known.end, known.seal, known.keep_until = end, seal, at
            rows.append(("end", (name, shard, end, seal, at)))
        self._count("marks", len(rows))
        self.message_store.write(rows, lambda error: respond({"ok": error is None}, b""))

    @on("fence")
    def on_fence(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        """Refuse older owners of these shards from now on, and tell what is open in them."""
        rows, refused = [], {}
        numbers = set()
        for text, epoch in body["shards"].items():
            shard = int(text)
            if self._fenced(shard, epoch):
                refused[shard] = self.fences[shard]
                continue
            numbers.add(shard)
            if self.fences.get(shard) != epoch:
                self.fences[shard] = epoch
                rows.append(("fence", (shard, epoch)))
        found = [(name, it) for name, it in self.kept.items() if not it.end and it.shard in numbers]
        total, along = 0, []
        for name, it in found:
            total += it.size
            if total <= WITH_BODIES:
                along.append(name)

        def answer(bodies: dict[str, bytes]) -> None:
            # Guards against what was about to be kept when the fence came, and was refused by the disk since.
            there = [(name, it) for name, it in found if name in self.kept]
            messages = [
                [name, *it.place(), it.meta, it.size, len(bodies[name]) if name in bodies else -1]
                for name, it in there
            ]
            parts = b"".join(bodies[name] for name, _ in there if name in bodies)
            respond({"ok": True, "disk": self.disk, "refused": refused, "open": messages}, parts)

        def done(error: str | None) -> None:
            if error is not None:
                respond({"ok": False}, b"")
            elif along:
                self.message_store.read(along, answer)
            else:
                answer({})

        self._count("fences", len(numbers))
        self.message_store.write(rows, done)

    @on("find")
    def on_find(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        """What is known of messages: how they ended, or that they are open."""
        found = {}
        for name in body["ids"]:
            known = self.kept.get(name)
            if known is not None:
                found[name] = [known.end, known.seal]
        respond({"found": found, "disk": self.disk}, b"")

    @on("body")
    def on_body(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        """A message's bytes, while it is open or dead, and how it ended where it has."""
        name = body["id"]
        known = self.kept.get(name)
        end = {"end": known.end, "seal": known.seal} if known is not None and known.end else {}
        if known is None or known.end not in ("", "dead"):
            respond({"found": False, **end}, b"")
            return
        self.message_store.read(
            [name], lambda found: respond({"found": name in found, **end}, found.get(name, b""))
        )

    def _sweep(self) -> None:
        self.world.call_later(SWEEP_S, self._sweep)
        now = self.world.wall_clock()
        over = [name for name, it in self.kept.items() if it.end and it.keep_until < now]
        for name in over:
            del self.kept[name]
        if over:
            self.message_store.write([("drop", (name,)) for name in over], lambda error: None)
