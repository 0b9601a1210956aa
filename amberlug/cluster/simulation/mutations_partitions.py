"""Faults of a core machine that is cut off, and of orders at both sides: days of `control` find them."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from contextlib import AbstractContextManager, contextmanager
from typing import Any
from unittest.mock import PropertyMock, patch

from result import Result

from amberlug.cluster.consensus.raft import NotTaken
from amberlug.cluster.control.cluster_state import Book
from amberlug.cluster.control.node import Core
from amberlug.cluster.http.api import Asked, Said, Say
from amberlug.cluster.interfaces import Json
from amberlug.cluster.session_client import Member

Then = Callable[[Result[Json, NotTaken]], None]


def _unconfirmed_refusal() -> AbstractContextManager[Any]:
    """A relay that takes itself for the leader answers orders from its own book, without a majority."""

    def at_once(self: Core, act: Callable[[], None], then: Then) -> None:
        act()

    return patch.object(Core, "_confirmed_book", at_once)


def _unconfirmed_edge() -> AbstractContextManager[Any]:
    """An edge serves what it has heard from any control relay, confirmed or not."""

    def take(self: Member, epoch: int) -> None:
        self.confirmed = True

    return patch.object(Member, "_newest", take)


@contextmanager
def _session_alone() -> Iterator[None]:
    """A control relay without a majority goes on answering hellos, beats and announcements with ok."""
    with (
        patch.object(Core, "in_contact", PropertyMock(return_value=True)),
        patch.object(Core, "contact_age", lambda self: 0.0),
    ):
        yield


def _announce_alone() -> AbstractContextManager[Any]:
    """A control relay without a majority acknowledges announcements, and names itself for later beats."""
    announce, cell_of = Core.announce, Core._cell_of

    def any_announce(self: Core, asked: Asked, name: str, say: Say) -> None:
        with patch.object(Core, "in_contact", PropertyMock(return_value=True)):
            announce(self, asked, name, say)

    def any_cell(self: Core, zone: str) -> str:
        member = self.vise.members.get(self.vise.me, {})
        return str(member["control"]) if member.get("zone") == zone else cell_of(self, zone)

    return _both(
        # The order's declaration stands on the function that is replaced.
        patch.object(Core, "announce", _like(announce, any_announce)),
        patch.object(Core, "_cell_of", any_cell),
    )


def _like(old: Callable[..., None], new: Callable[..., None]) -> Callable[..., None]:
    new.__dict__.update(old.__dict__)
    return new


@contextmanager
def _both(*those: AbstractContextManager[Any]) -> Iterator[None]:
    with those[0], those[1]:
        yield


def _same_number() -> AbstractContextManager[Any]:
    """Whoever sends an edition's number is told that it was taken, whatever it holds."""
    check = Book.check_config

    def by_number(self: Book, base: int, edition: int, sum_: str) -> Json:
        known = self.hashes.get(edition)
        return check(self, base, edition, known[0] if known is not None else sum_)

    return patch.object(Book, "check_config", by_number)


def _repeat_refused() -> AbstractContextManager[Any]:
    """A snapshot leaves out which changes were taken: one that is sent again is refused."""
    to_json = Book.to_json
    return patch.object(Book, "to_json", lambda self: {**to_json(self), "hashes": {}})


def _old_read() -> AbstractContextManager[Any]:
    """A relay answers reads of the configuration from its own book."""

    def read(self: Core, asked: Asked, name: str, say: Say) -> None:
        config = self.book.config
        say(Said(200, config) if config is not None else Said(503, {}, 1))

    return patch.object(Core, "read", _like(Core.read, read))


# By name: the fault, and the aim of the days in which it is looked for.
FAULTS: Mapping[str, tuple[Callable[[], AbstractContextManager[Any]], str]] = {
    "unconfirmed-refusal": (_unconfirmed_refusal, "control"),
    "unconfirmed-edge": (_unconfirmed_edge, "control"),
    "session-alone": (_session_alone, "control"),
    "announce-alone": (_announce_alone, "control"),
    "same-number": (_same_number, "control"),
    "repeat-refused": (_repeat_refused, "control"),
    "old-read": (_old_read, "control"),
}
