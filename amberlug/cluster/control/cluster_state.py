"""What core machines agree on, as a state machine over their log: every member applies the same commands.

Its time is the sum of the seconds that leaders led before their commands: it goes on alike everywhere, no
clock that steps moves it, and with each new leader it falls behind: what is kept for a time is kept longer.
"""

from __future__ import annotations

import hashlib
import json

from amberlug.cluster.interfaces import Json

SHARDS = 256  # pieces that all messages are cut into by key; more than any deployment has edges
EDITIONS_S = 3600.0  # the hash of each change is kept so long, to know a call that comes again,
EDITIONS = 1024, 16384  # and of the newest ones longer, and of more than that none at all
GONE_S = (
    600.0  # endpoints that have gone are kept so long: calls take a second, and no later life has their ids
)
LEAVING_S = 3600.0  # those that are leaving and don't say that they have gone

LEAVING, GONE = 1, 2  # ranks of endpoints


def digest(config: Json) -> str:
    """A configuration's hash, whatever the order of its keys."""
    return hashlib.blake2b(json.dumps(config, sort_keys=True).encode(), digest_size=12).hexdigest()


def _as_now(data: Json) -> Json:
    """A snapshot of an earlier version, which knew no time: all is as of its start."""
    if "drains" not in data:
        return data
    drains = data["drains"].items()
    return data | {
        "hashes": {key: (sum_, 0.0) for key, sum_ in data["hashes"].items()},
        "leaving": {name: (0.0, sequence) for name, (rank, sequence) in drains if rank == LEAVING},
        "gone": {name: (0.0, sequence) for name, (rank, sequence) in drains if rank == GONE},
        "forgotten": min(map(int, data["hashes"]), default=1) - 1,
    }


class ClusterState:
    """The agreed state: configuration, roster of stores, owners of shards, endpoints that leave."""

    def __init__(self) -> None:
        self.index = 0
        self.edition = 0
        self.config: Json | None = None
        self.config_at = 0
        self.now = 0.0  # seconds
        self.hashes: dict[int, tuple[str, float]] = {}  # by edition: the call's hash, and when it was taken
        self.forgotten = 0  # the newest edition whose hash is kept no longer
        self.roster: Json = {}  # by disk: name, addr, zone, region, state, at (of it), table (as it came)
        self.roster_at = 0
        self.retired: Json = {}  # stores that were to be emptied: in_progress or completed
        self.owners: Json = {}  # owner's id (name/incarnation) -> name, addr, zone, region
        self.shards: list[
            list[object]
        ] = []  # by number: owner's id, epoch, the owner before where it still lives
        self.shards_at = 0
        self.shards_roster = 0  # the newest roster as shards were last given
        # Endpoints that are leaving, and those that have gone: when, and their sequence; the oldest first.
        self.leaving: dict[str, tuple[float, int]] = {}
        self.gone: dict[str, tuple[float, int]] = {}
        self.drains_at = 0
        self._untold: dict[str, tuple[int, int]] = {}

    def to_json(self) -> Json:
        own = {name: value for name, value in vars(self).items() if not name.startswith("_")}
        return own | {
            "hashes": {str(key): it for key, it in self.hashes.items()},
            "leaving": dict(self.leaving),
            "gone": dict(self.gone),
        }

    def from_json(self, data: Json) -> None:
        data = _as_now(data)
        for name in vars(self):
            if name in data:
                setattr(self, name, data[name])
        self.hashes = {int(key): (it[0], it[1]) for key, it in self.hashes.items()}
        self.leaving = {name: (it[0], it[1]) for name, it in self.leaving.items()}
        self.gone = {name: (it[0], it[1]) for name, it in self.gone.items()}
        self._untold = {name: (LEAVING, sequence) for name, (_, sequence) in self.leaving.items()}
        self._untold |= {name: (GONE, sequence) for name, (_, sequence) in self.gone.items()}

    def apply(self, index: int, command: Json) -> Json:
        """Apply a committed command; what it says is the answer to who proposed it."""
        self.index = index
        self.now += max(0.0, command.get("after", 0.0))
        said: Json = getattr(self, "_" + command["do"])(index, command)
        return said

    def check_config(self, base: int, edition: int, sum_: str) -> Json:
        """What would be answered to a configuration now; `{"ok": true}` where it would be taken.

        A call whose hash may have been forgotten is left without a clear answer: it may have been taken. One
        on top of the newest edition was not, whatever its number.
        """
        if self.hashes.get(edition, ("", 0.0))[0] == sum_:
            return {"again": True}
        if base != self.edition and edition <= self.forgotten:
            return {"status": 503, "cause": f"edition {edition} is too old to tell whether it was this one"}
        if base != self.edition:
            return {"status": 412, "cause": f"edition {self.edition} is in place, not {base}"}
        if edition <= self.edition:
            return {"status": 400, "cause": f"edition: {edition} does not exceed {self.edition}"}
        return {"ok": True}

    def _config(self, index: int, command: Json) -> Json:
        said = self.check_config(command["base"], command["edition"], command["sum"])
        if "ok" in said:
            self.edition, self.config, self.config_at = command["edition"], command["config"], index
            self.hashes[self.edition] = command["sum"], self.now
            while (kept := len(self.hashes)) > EDITIONS[0]:
                edition, (_, at) = next(iter(self.hashes.items()))
                if kept <= EDITIONS[1] and self.now - at <= EDITIONS_S:
                    break
                del self.hashes[edition]
                self.forgotten = edition
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
        mine = {disk: it for disk, it in self.roster.items() if it["name"] == name}
        # One that is away for now exists all the same, and stays to be emptied once it is back.
        known = {disk: it for disk, it in mine.items() if it["state"] != "lost"} or mine
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
        for name, rank, sequence in command["ids"]:
            if self.drained(name) >= (rank, sequence):
                continue
            self.leaving.pop(name, None)
            self.gone.pop(name, None)
            (self.gone if rank == GONE else self.leaving)[name] = self.now, sequence
            self._untold[name] = rank, sequence
        for kept, seconds in ((self.leaving, LEAVING_S), (self.gone, GONE_S)):
            while kept and self.now - next(iter(kept.values()))[0] > seconds:
                del kept[next(iter(kept))]
        self.drains_at = index
        return {"ok": True}

    def drained(self, name: str) -> tuple[int, int]:
        """An endpoint's rank (1 leaving, 2 gone) and sequence; (0, 0) where nothing is known of it."""
        if name in self.gone:
            return GONE, self.gone[name][1]
        return (LEAVING, self.leaving[name][1]) if name in self.leaving else (0, 0)

    def untold(self) -> dict[str, tuple[int, int]]:
        """The rank and sequence of the endpoints of which that has changed since this was last asked."""
        untold, self._untold = self._untold, {}
        return untold
