"""Members of the core's log, one at a time."""

from collections.abc import Callable
from typing import Any

from tests.workshop.fakes import Alone
from workshop.jig.clock import Clock
from workshop.ports import Json
from workshop.vise.agree import Saved, Vise

MEMBERS = {name: {"addr": name, "voter": True} for name in "abc"}


class Refusing:
    """A disk that refuses entries for a while."""

    def __init__(self) -> None:
        self.full = False
        self.entries: dict[int, Any] = {}

    def write(self, rows: list[tuple[str, tuple[Any, ...]]], then: Callable[[str | None], None]) -> None:
        if self.full and any(kind == "entry" for kind, _ in rows):
            then("no space is left")
            return
        for kind, values in rows:
            if kind == "cut":
                self.entries = {at: it for at, it in self.entries.items() if at < values[0]}
            elif kind == "entry":
                self.entries[values[0]] = values[1:]
        then(None)


def test_entries_that_the_disk_refused_are_not_acknowledged_and_are_written_again() -> None:
    clock, disk = Clock(), Refusing()
    vise = Vise(
        Alone(clock), disk, Saved("a", members=MEMBERS), lambda index, command: {}, dict, lambda state: None,
        lambda: None,
    )  # fmt: skip

    def append(before: int, *entries: tuple[int, Json]) -> list[Json]:
        said: list[Json] = []
        body = {"term": 1, "me": "b", "to": "a", "commit": 0, "prev": before, "prev_term": 1 if before else 0}
        vise.on_append({**body, "entries": list(entries)}, b"", "b", lambda body, blob: said.append(body))
        return said

    disk.full = True
    assert append(0, (1, {"n": 1})) == []
    assert append(0, (1, {"n": 1})) == []
    disk.full = False
    assert append(1, (1, {"n": 2})) == []  # behind a gap it is worth nothing
    assert disk.entries == {}
    clock.run(0.2)
    assert disk.entries == {1: (1, {"n": 1}), 2: (1, {"n": 2})}
    assert append(2) == [{"ok": True, "term": 1}]
