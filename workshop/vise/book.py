"""What core machines agree on, as a state machine over their log: every member applies the same commands."""

from __future__ import annotations

import hashlib
import json

from workshop.ports import Json

SHARDS = 256  # pieces that all messages are cut into by key; more than any deployment has edges
EDITIONS = 256  # editions whose hash is kept, to know a call that comes again
DRAINS = 4096  # endpoints kept that are leaving or gone


def digest(config: Json) -> str:
    """A configuration's hash, whatever the order of its keys."""
    return hashlib.blake2b(json.dumps(config, sort_keys=True).encode(), digest_size=12).hexdigest()


class Book:
    """The agreed state: configuration, roster of stores, owners of shards, endpoints that leave."""

    def __init__(self) -> None:
        self.index = 0
        self.edition = 0
        self.config: Json | None = None
        self.config_at = 0
        self.hashes: dict[int, str] = {}
        self.roster: Json = {}  # by disk: name, addr, zone, region, state, at (of it), table (as it came)
        self.roster_at = 0
        self.retired: Json = {}  # stores that were to be emptied: in_progress or completed
        self.owners: Json = {}  # owner's id (name/incarnation) -> name, addr, zone, region
        self.shards: list[
            list[object]
        ] = []  # by number: owner's id, epoch, the owner before where it still lives
        self.shards_at = 0
        self.shards_roster = 0  # the newest roster as shards were last given
        self.drains: dict[str, list[int]] = {}  # endpoint's id -> rank (1 draining, 2 gone), sequence
        self.drains_at = 0

    def to_json(self) -> Json:
        return {**vars(self), "hashes": {str(key): it for key, it in self.hashes.items()}}

    def from_json(self, data: Json) -> None:
        for name in vars(self):
            if name in data:
                setattr(self, name, data[name])
        self.hashes = {int(key): it for key, it in self.hashes.items()}

    def apply(self, index: int, command: Json) -> Json:
        """Apply a committed command; what it says is the answer to who proposed it."""
        self.index = index
        said: Json = getattr(self, "_" + command["do"])(index, command)
        return said

    def check_config(self, base: int, edition: int, sum_: str) -> Json:
        """What would be answered to a configuration now; `{"ok": true}` where it would be taken."""
        if self.hashes.get(edition) == sum_:
            return {"again": True}
        if base != self.edition:
            return {"status": 412, "cause": f"edition {self.edition} is in place, not {base}"}
        if edition <= self.edition:
            return {"status": 400, "cause": f"edition: {edition} does not exceed {self.edition}"}
        return {"ok": True}

    def _config(self, index: int, command: Json) -> Json:
        said = self.check_config(command["base"], command["edition"], command["sum"])
        if "ok" in said:
            self.edition, self.config, self.config_at = command["edition"], command["config"], index
            self.hashes[self.edition] = command["sum"]
            while len(self.hashes) > EDITIONS:
                del self.hashes[min(self.hashes)]
        return said

    def _roster(self, index: int, command: Json) -> Json:
        """Disks come, change their state, or are no longer asked for anything."""
        roster = dict(self.roster)
        for disk, store in command.get("set", {}).items():
            before = roster.get(disk, {})
            at = before["at"] if before.get("state") == store["state"] else index
            # Owners of that table or newer ones know of it; older ones it must refuse by itself.
            table = before.get("table", 0) if before else self.shards_at
            roster[disk] = {**store, "at": at, "table": table}
        for disk in command.get("drop", []):
            gone = roster.pop(disk, None)
            if gone is not None and gone["state"] == "retiring":
                self.retired = {**self.retired, gone["name"]: "completed"}
        self.roster, self.roster_at = roster, index
        return {"ok": True}

    def _retire(self, index: int, command: Json) -> Json:
        """A store is to be emptied: none of its copies counts any more, and it takes no new ones."""
        name = command["name"]
        known = {disk: it for disk, it in self.roster.items() if it["name"] == name and it["state"] != "lost"}
        if self.retired.get(name) is not None and not any(it["state"] == "full" for it in known.values()):
            return {"again": True}
        if not known:
            return {"status": 404, "cause": f"no store {name}"}
        self.retired = {**self.retired, name: "in_progress"}
        return self._roster(index, {"set": {disk: {**it, "state": "retiring"} for disk, it in known.items()}})

    def _give(self, index: int, command: Json) -> Json:
        """Shards change hands: the index is the epoch that the new owners act under."""
        self.owners = command["owners"]
        shards = [list(it) for it in self.shards] or [["", 0, ""] for _ in range(SHARDS)]
        for owner, numbers in command["give"].items():
            assert owner in self.owners, "a shard is given to nobody"
            for number in numbers:
                before = str(shards[number][0])
                shards[number] = [owner, index, before if before in self.owners else ""]
        self.shards, self.shards_at, self.shards_roster = shards, index, self.roster_at
        return {"ok": True, "epoch": index}

    def _drain(self, index: int, command: Json) -> Json:
        """Endpoints leave or have left: it is never taken back."""
        drains = dict(self.drains)
        for name, rank, sequence in command["ids"]:
            drains[name] = list(max(drains.get(name, [0, 0]), [rank, sequence]))
        while len(drains) > DRAINS:
            del drains[next(iter(drains))]
        self.drains, self.drains_at = drains, index
        return {"ok": True}
