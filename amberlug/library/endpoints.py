"""Sources of endpoints for an embedded relay: a static list, a watched file, or the discovery service."""

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

# Returns the work of applying an update, run at once or in slices.
UpdateHandler = Callable[[EndpointListUpdate], Iterator[None]]
MAX_FILE_BYTES = 1 << 26  # largest endpoint file, in bytes


class Endpoints(Protocol):
    """A source of endpoints, for one relay."""

    def start(self, settings: Settings, listed: UpdateHandler) -> None:
        """Report the list, then each change; raises `ValueError` or `OSError` if it cannot be read."""

    def stop(self) -> None:
        """Stop reporting changes."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One endpoint of a destination.

    `address` is an IP address and port; it is optional with a custom transport. `rate` is the number of calls
    per second that the destination accepts from all relays together, 0 if unknown.
    """

    id: str
    destination: int
    address: str = ""
    kind: str = "plain"
    zone: str = ""
    rate: float = 0.0
    draining: bool = False


class StaticEndpoints:
    """A list of endpoints that the host provides and may replace."""

    def __init__(self, *endpoints: Endpoint) -> None:
        self._endpoints = endpoints
        self._listed: UpdateHandler | None = None
        self._slices = SlicedQueue(_ignore_error)
        self._kinds: frozenset[str] = frozenset()

    def start(self, settings: Settings, listed: UpdateHandler) -> None:
        """Report the list; `ValueError` if it is invalid."""
        self._kinds = frozenset(settings.kinds)
        news = self._news(self._endpoints)
        self._listed = listed
        run_to_end(listed(news))

    def stop(self) -> None:
        """Stop reporting changes."""
        self._listed = None
        self._slices.clear()

    def change(self, *endpoints: Endpoint) -> None:
        """Replace the list; raises `ValueError` and keeps the old one if the new one is invalid."""
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
    """A JSON file in the format of the discovery service, checked for changes every `every` seconds.

    A file that becomes invalid, incomplete or missing is logged and the previous list is kept. At the start
    it is an error.
    """

    def __init__(self, path: Path | str, every: float = 1.0) -> None:
        self._path, self._every = Path(path), every
        self._fingerprint: tuple[int, ...] = ()
        self._timer: asyncio.TimerHandle | None = None
        self._slices = SlicedQueue(self._log_error)

    def start(self, settings: Settings, listed: UpdateHandler) -> None:
        """Report the file's list, then each change; `ValueError` or `OSError` if it can't be read now."""
        self._fingerprint = self._read_fingerprint()
        run_to_end(listed(self._read(settings)))
        self._schedule_check(settings, listed)

    def stop(self) -> None:
        """Stop checking the file and reporting changes."""
        self._slices.clear()
        if self._timer is not None:
            self._timer.cancel()

    def _log_error(self, error: Exception) -> None:
        log(f"endpoints: {self._path.name}: {error}; the previous list stays in use")

    def _schedule_check(self, settings: Settings, listed: UpdateHandler) -> None:
        self._timer = asyncio.get_running_loop().call_later(self._every, self._check_file, settings, listed)

    def _check_file(self, settings: Settings, listed: UpdateHandler) -> None:
        self._schedule_check(settings, listed)
        fingerprint = self._read_fingerprint()
        if fingerprint == self._fingerprint:
            return  # an invalid or missing file is thus logged once
        self._fingerprint = fingerprint
        try:
            news = self._read(settings)
        except (OSError, ValueError) as error:
            self._log_error(error)
            return
        self._slices.add(listed(news))

    def _read_fingerprint(self) -> tuple[int, ...]:
        """Fingerprint of the file from its metadata; () if it does not exist."""
        try:
            it = self._path.stat()
        except OSError:
            return ()
        return it.st_mtime_ns, it.st_size, it.st_ino

    def _read(self, settings: Settings) -> EndpointListUpdate:
        with self._path.open("rb") as file:
            text = file.read(MAX_FILE_BYTES + 1)
        if len(text) > MAX_FILE_BYTES:
            raise ValueError("the list is too long")
        return read_list_line(text, settings.kinds, {"revision": 0, "complete": True})


def run_to_end(work: Iterator[None]) -> None:
    """Apply an update at once; before the relay serves, nothing is delayed by it."""
    for _ in work:
        pass


def _ignore_error(error: ValueError) -> None:
    """Ignore errors, which cannot occur: a list is validated before it is applied."""


def _ignore_validity(seconds: float) -> None:
    """Ignore how long the list is valid, until `confirms` is called."""


class Discovery:
    """The platform's discovery service, watched as by the daemon; `known` is the initial list."""

    def __init__(self, where: str, known: EndpointListUpdate | None = None) -> None:
        self._where, self._known = parse_address(where), known
        self._watch: Watch | None = None
        self._on_confirmed: Callable[[float], None] = _ignore_validity
        self._confirmation: ListConfirmation | None = None

    def confirms(self, current: Callable[[float], None], heard: ListConfirmation) -> None:
        """Set the callback for a confirmed list, called with the seconds for which the list is valid."""
        self._on_confirmed, self._confirmation = current, heard

    async def tried(self, seconds: float) -> None:
        """Wait for the first answer or failure of discovery, for `seconds` at most."""
        if self._watch is not None:
            await self._watch.wait_attempted(seconds)

    def start(self, settings: Settings, listed: UpdateHandler) -> None:
        """Report the initial list, if there is one, then follow the changes from discovery."""
        if self._known is not None:
            run_to_end(listed(self._known))
        revision = self._known.revision if self._known is not None else 0
        backoff = DiscoveryBackoff(settings.relays, settings.drain_grace_us / SECOND)
        age_s = None if self._confirmation is None else self._confirmation.age_s()
        self._on_confirmed(backoff.initial_list_validity_s(True, age_s))

        def confirmed() -> None:
            """Extend the validity of the list and store the time of its confirmation."""
            self._on_confirmed(backoff.list_validity_s())
            if self._confirmation is not None:
                self._confirmation.record()

        self._watch = Watch(self._where, settings.kinds, revision, listed, backoff, confirmed)
        self._watch.start()

    def stop(self) -> None:
        """Stop following the list."""
        if self._watch is not None:
            self._watch.stop()
