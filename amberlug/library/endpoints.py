"""Where a relay in a host learns of its endpoints: a list, a file that is watched, or discovery."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from amberlug.core.endpoint_list import parse_address, read_list_line
from amberlug.core.log import log
from amberlug.core.ports import EndpointListUpdate
from amberlug.core.sliced_queue import SlicedQueue
from amberlug.platform.backoff import DiscoveryBackoff
from amberlug.platform.confirmation import ListConfirmation
from amberlug.platform.discovery import Watch
from amberlug.policy.account import SECOND
from amberlug.policy.interface import Entry, Settings, State

Listed = Callable[
    [EndpointListUpdate], Iterator[None]
]  # makes the work of news, to be done at once or in slices
FILE_MOST = 1 << 26  # bytes of a list's file


class Endpoints(Protocol):
    """A source of endpoints, for one relay."""

    def start(self, settings: Settings, listed: Listed) -> None:
        """Tell the list, and each change from now on; `ValueError` or `OSError` where there is none."""

    def stop(self) -> None:
        """Tell nothing more."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One endpoint of a destination.

    `address` is an IP address and port; a transport of the host's own may do without. `rate` is how many
    calls a second the destination takes from all relays together, 0 where that is not known.
    """

    id: str
    destination: int
    address: str = ""
    kind: str = "plain"
    zone: str = ""
    rate: float = 0.0
    draining: bool = False


class StaticEndpoints:
    """A list that the host gives, and may change."""

    def __init__(self, *endpoints: Endpoint) -> None:
        self._endpoints = endpoints
        self._listed: Listed | None = None
        self._slices = SlicedQueue(_unheard)
        self._kinds: frozenset[str] = frozenset()

    def start(self, settings: Settings, listed: Listed) -> None:
        self._kinds = frozenset(settings.kinds)
        news = self._news(self._endpoints)
        self._listed = listed
        apply(listed(news))

    def stop(self) -> None:
        self._listed = None
        self._slices.clear()

    def change(self, *endpoints: Endpoint) -> None:
        """Give a new list in place of the old one; `ValueError` where it is bad, and the old one stays."""
        news = self._news(endpoints) if self._listed is not None else None
        self._endpoints = endpoints
        if self._listed is not None and news is not None:
            self._slices.add(self._listed(news))

    def _news(self, endpoints: tuple[Endpoint, ...]) -> EndpointListUpdate:
        if unknown := {it.kind for it in endpoints} - self._kinds:
            raise ValueError(f"unknown kinds of endpoint: {', '.join(sorted(unknown))}")
        entries = []
        for it in endpoints:
            if it.address:
                parse_address(it.address)
            state = State.DRAINING if it.draining else State.IN
            entries.append(Entry(it.id, it.zone, it.kind, it.destination, state, it.rate, it.address))
        return EndpointListUpdate(entries, 0, True)


class EndpointFile:
    """A JSON file in discovery's form, looked at every `every` seconds.

    One that is bad, half written or gone is a line in the log, and the list that was read before stays. At
    the start it is an error.
    """

    def __init__(self, path: Path | str, every: float = 1.0) -> None:
        self._path, self._every = Path(path), every
        self._stamp: tuple[int, ...] = ()
        self._timer: asyncio.TimerHandle | None = None
        self._slices = SlicedQueue(self._bad)

    def start(self, settings: Settings, listed: Listed) -> None:
        self._stamp = self._stamp_now()
        apply(listed(self._read(settings)))
        self._later(settings, listed)

    def stop(self) -> None:
        self._slices.clear()
        if self._timer is not None:
            self._timer.cancel()

    def _bad(self, error: Exception) -> None:
        log(f"endpoints: {self._path.name}: {error}; the list as it was stays")

    def _later(self, settings: Settings, listed: Listed) -> None:
        self._timer = asyncio.get_running_loop().call_later(self._every, self._look, settings, listed)

    def _look(self, settings: Settings, listed: Listed) -> None:
        self._later(settings, listed)
        stamp = self._stamp_now()
        if stamp == self._stamp:
            return  # also one that is bad or gone is told once
        self._stamp = stamp
        try:
            news = self._read(settings)
        except (OSError, ValueError) as error:
            self._bad(error)
            return
        self._slices.add(listed(news))

    def _stamp_now(self) -> tuple[int, ...]:
        """What changes with the file; () where there is none."""
        try:
            it = self._path.stat()
        except OSError:
            return ()
        return it.st_mtime_ns, it.st_size, it.st_ino

    def _read(self, settings: Settings) -> EndpointListUpdate:
        with self._path.open("rb") as file:
            text = file.read(FILE_MOST + 1)
        if len(text) > FILE_MOST:
            raise ValueError("the list is too long")
        return read_list_line(text, settings.kinds, {"revision": 0, "complete": True})


def apply(work: Iterator[None]) -> None:
    """Do all of the work of news at once: before the relay serves, nobody waits."""
    for _ in work:
        pass


def _unheard(error: ValueError) -> None:
    """Guard against an error that can't be: a host's list is checked before its news are told."""


def _unheeded(seconds: float) -> None:
    """Where nobody asks how old the list may be."""


class Discovery:
    """The platform's discovery, followed as the daemon does; `known` is a list to begin with."""

    def __init__(self, where: str, known: EndpointListUpdate | None = None) -> None:
        self._where, self._known = parse_address(where), known
        self._watch: Watch | None = None
        self._current: Callable[[float], None] = _unheeded
        self._heard: ListConfirmation | None = None

    def confirms(self, current: Callable[[float], None], heard: ListConfirmation) -> None:
        """Have told that the list is the newest, with the seconds for which calls may go by it."""
        self._current, self._heard = current, heard

    async def tried(self, seconds: float) -> None:
        """Wait until discovery has answered once, or refused, for so long at the most."""
        if self._watch is not None:
            await self._watch.wait_attempted(seconds)

    def start(self, settings: Settings, listed: Listed) -> None:
        if self._known is not None:
            apply(listed(self._known))
        revision = self._known.revision if self._known is not None else 0
        pauses = DiscoveryBackoff(settings.relays, settings.drain_grace_us / SECOND)
        age_s = None if self._heard is None else self._heard.age_s()
        self._current(pauses.initial_list_validity_s(True, age_s))

        def confirmed() -> None:
            self._current(pauses.list_validity_s())
            if self._heard is not None:
                self._heard.record()

        self._watch = Watch(self._where, settings.kinds, revision, listed, pauses, confirmed)
        self._watch.start()

    def stop(self) -> None:
        if self._watch is not None:
            self._watch.stop()
