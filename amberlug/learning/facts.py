"""Records of destinations, kinds, tenants and requested waits: their encoding and validation. No I/O.

A requested wait is one that an endpoint asked for in a response. Times in a record are in microseconds, by
the monotonic clock of the boot in which it was written.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgpack

from amberlug.core.ports import Wait
from amberlug.policy import interface as api
from amberlug.policy.account import KEPT, OPEN
from amberlug.policy.state import NEVER

DESTINATION, WAIT, KIND, TENANT = b"D", b"W", b"K", b"T"
NAME_MOST = 1024  # characters of the name of an endpoint, kind or zone
MANY = 4096  # endpoints or routes of one destination
RATE_MOST = 1e9  # calls per second, or per window
WAIT_MOST_US = 3_600_000_000
AHEAD_US = 1_000_000  # by which a record may be later than the timestamp it is validated against
GROWTH = 1.15  # ratio of adjacent response time bins: quantiles are at most 7% off
BINS = 256
IDLE_BINS = 24
WEEK_HOURS = 168
_REAL = (int, float)
_OUT_OF_BOUNDS = "value out of bounds"


@dataclass(slots=True)
class Kept:
    """All that is stored about one destination."""

    known: api.Known
    seen_us: int  # time of the last update
    answers: dict[int, float] = field(default_factory=dict)  # weight of each response time bin
    # By hour of the week: the last week in which the destination was active then, and how regular that is.
    hours: dict[int, tuple[int, float]] = field(default_factory=dict)
    # By endpoint and idle time bin: calls on reused connections, and how many of them were reset.
    idle: dict[str, dict[int, tuple[float, float]]] = field(default_factory=dict)


@dataclass(slots=True)
class Usual:
    """Baseline of a kind of endpoint, or of a tenant's traffic."""

    seen_us: int
    answer_us: float = 0.0  # median response time; 0 if unknown
    failure_rate: float = 0.0
    rate: float = 0.0  # messages per second


def bin_of(took_us: int) -> int:
    """Return the bin of a response time."""
    return min(BINS - 1, int(math.log(max(1, took_us)) / math.log(GROWTH)))


def idle_bin(idle_us: int) -> int:
    """Return the bin of an idle time; bins double in width, from 1 ms on."""
    return min(IDLE_BINS - 1, max(0, idle_us // 1000).bit_length())


def quantile(answers: dict[int, float], part: float) -> float:
    """Return a quantile of the response times, in microseconds; 0 if there are none."""
    left = sum(answers.values()) * part
    for number in sorted(answers):
        left -= answers[number]
        if left <= 0:
            return float(GROWTH ** (number + 0.5))
    return 0.0


def destination_key(number: int) -> bytes:
    """Return the key of a destination's record."""
    return DESTINATION + str(number).encode()


def wait_key(wait: Wait) -> bytes:
    """Return the key of a requested wait's record."""
    return WAIT + f"{wait.destination}/{wait.route}".encode()


def pack(kept: Kept) -> bytes:
    """Encode a destination's record."""
    known = kept.known
    routes = [
        [
            it.route,
            min(it.usual_us, WAIT_MOST_US),
            it.pace,
            it.pace_us,
            it.learned if it.learned < OPEN else None,
            it.learned_us,
        ]
        for it in known.routes
    ]
    endpoints = [
        [
            it.entry.endpoint,
            it.entry.kind,
            it.entry.zone,
            it.entry.up_since_ms,
            it.cold,
            it.since_us,
            it.failed_us,
            it.done_us,
            it.back_us,
            it.failure_rate,
            it.swallows,
            it.spread,
            it.starts,
        ]
        for it in known.endpoints
    ]
    return bytes(
        msgpack.packb(
            [known.destination, kept.seen_us, routes, endpoints, kept.answers, kept.hours, kept.idle]
        )
    )


def _known_endpoint(destination: int, row: list[Any]) -> api.KnownEndpoint:
    """Decode the row of one endpoint in a destination's record."""
    name, kind, zone, up_since_ms, cold, since, failed, done, back, rate, swallows, spread, starts = row
    entry = api.Entry(name, zone, kind, destination, api.State.IN, 0.0, up_since_ms=up_since_ms)
    return api.KnownEndpoint(entry, cold, since, failed, done, back, rate, swallows, spread, tuple(starts))


def unpack(record: bytes, latest_us: int) -> Kept:
    """Decode a destination's record; raises `ValueError` if it is invalid or has a time after `latest_us`."""
    number, seen_us, routes, endpoints, answers, hours, idle = _sound(record, latest_us + AHEAD_US)
    known = api.Known(
        number,
        tuple(
            [
                api.KnownRoute(
                    route, usual_us, pace, pace_us, OPEN if learned is None else learned, learned_us
                )
                for route, usual_us, pace, pace_us, learned, learned_us in routes
            ]
        ),
        tuple([_known_endpoint(number, row) for row in endpoints]),
    )
    idled = {name: {at: (it[0], it[1]) for at, it in bins.items()} for name, bins in idle.items()}
    return Kept(known, seen_us, answers, {hour: (was[0], was[1]) for hour, was in hours.items()}, idled)


def _sound(record: bytes, latest_us: int) -> list[Any]:
    """Return the fields of a destination's record, after checking the type and bounds of every value.

    Inlined comparisons for speed: up to 50,000 records are checked before a relay starts. NaN fails every
    bounds check.
    """
    try:
        fields: list[Any] = _load(record)
        number, seen_us, routes, endpoints, answers, hours, idle = fields
        sound = type(number) is int and type(seen_us) is int and NEVER <= seen_us <= latest_us
        sound = sound and type(routes) is list and type(endpoints) is list
        sound = sound and len(routes) <= MANY and len(endpoints) <= MANY
        for route, usual_us, pace, pace_us, learned, learned_us in routes:
            sound = (
                sound
                and type(route) is str
                and len(route) <= NAME_MOST
                and type(usual_us) is int
                and 0 <= usual_us <= WAIT_MOST_US
                and type(pace) in _REAL
                and 0 <= pace <= RATE_MOST
                and type(pace_us) is int
                and NEVER <= pace_us <= latest_us
                and (learned is None or (type(learned) in _REAL and 1e-9 <= learned <= RATE_MOST))
                and type(learned_us) is int
                and NEVER <= learned_us <= latest_us
            )
        for name, kind, zone, up, cold, since, failed, done, back, rate, swallows, wide, starts in endpoints:
            sound = (
                sound
                and type(name) is str
                and 0 < len(name) <= NAME_MOST
                and type(kind) is str
                and len(kind) <= NAME_MOST
                and type(zone) is str
                and len(zone) <= NAME_MOST
                and type(up) is int
                and 0 <= up < 1 << 63
                and type(cold) is bool
                and type(swallows) is bool
                and type(since) is int
                and NEVER <= since <= latest_us
                and type(failed) is int
                and NEVER <= failed <= latest_us
                and type(done) is int
                and NEVER <= done <= latest_us
                and (back is None or (type(back) is int and NEVER <= back <= latest_us))
                and type(rate) in _REAL
                and 0 <= rate <= 1
                and type(wide) in _REAL
                and 0 <= wide <= 10
                and type(starts) is list
                and len(starts) <= KEPT
            )
            for start in starts:
                sound = sound and type(start) is int and NEVER <= start <= latest_us
        for at, weight in answers.items():
            sound = sound and type(at) is int and 0 <= at < BINS
            sound = sound and type(weight) in _REAL and 0 <= weight <= 1e12
        for hour, (week, weight) in hours.items():
            sound = sound and type(hour) is int and 0 <= hour < WEEK_HOURS and type(week) is int
            sound = sound and 0 <= week <= 1 << 20 and type(weight) in _REAL and 0 <= weight <= 1
        for name, bins in idle.items():
            sound = sound and type(name) is str and 0 < len(name) <= NAME_MOST
            for at, (used, reset) in bins.items():
                sound = sound and type(at) is int and 0 <= at < IDLE_BINS
                sound = sound and type(used) in _REAL and type(reset) in _REAL and 0 <= reset <= used <= 1e12
    except (TypeError, ValueError, AttributeError, msgpack.UnpackException) as error:
        raise ValueError(f"malformed record: {error}") from None
    if not sound:
        raise ValueError(_OUT_OF_BOUNDS)
    return fields


def pack_wait(wait: Wait) -> bytes:
    """Encode a requested wait's record."""
    return bytes(msgpack.packb([wait.destination, wait.route, wait.length_us, wait.until_us, wait.boot]))


def unpack_wait(record: bytes, latest_us: int) -> Wait:
    """Decode a requested wait; raises `ValueError` if it is invalid."""
    try:
        destination, route, length_us, until_us, boot = _load(record)
        length_us = _whole(length_us, 0, WAIT_MOST_US)
        return Wait(
            _whole(destination, -(1 << 63), (1 << 63) - 1),
            _name(route, 0),
            length_us,
            _time(until_us, latest_us + length_us),
            _name(boot, 0),
        )
    except (TypeError, msgpack.UnpackException) as error:
        raise ValueError(f"malformed record: {error}") from None


def pack_usual(usual: Usual) -> bytes:
    """Encode the record of a kind or a tenant."""
    return bytes(msgpack.packb([usual.seen_us, usual.answer_us, usual.failure_rate, usual.rate]))


def unpack_usual(record: bytes, latest_us: int) -> Usual:
    """Decode the record of a kind or a tenant; raises `ValueError` if it is invalid."""
    try:
        seen_us, answer_us, failure_rate, rate = _load(record)
        return Usual(
            _time(seen_us, latest_us),
            _real(answer_us, 0, WAIT_MOST_US),
            _real(failure_rate, 0, 1),
            _real(rate, 0, RATE_MOST),
        )
    except (TypeError, msgpack.UnpackException) as error:
        raise ValueError(f"malformed record: {error}") from None


def check(records: Iterable[tuple[bytes, bytes]], latest_us: int) -> None:
    """Check that each record is valid and matches its key; raises `ValueError` otherwise."""
    for key, record in records:
        kind = key[:1]
        if kind == DESTINATION:
            if destination_key(_sound(record, latest_us + AHEAD_US)[0]) != key:
                raise ValueError("record does not match its key")
        elif kind == WAIT:
            if wait_key(unpack_wait(record, latest_us)) != key:
                raise ValueError("record does not match its key")
        elif kind in (KIND, TENANT):
            unpack_usual(record, latest_us)
        else:
            raise ValueError(f"unknown type of record: {key[:20]!r}")


def _load(record: bytes) -> Any:
    return msgpack.unpackb(record, strict_map_key=False)


def _name(text: Any, least: int = 1) -> str:
    if not isinstance(text, str) or not least <= len(text) <= NAME_MOST:
        raise ValueError(_OUT_OF_BOUNDS)
    return text


def _whole(figure: Any, least: int, most: int) -> int:
    if type(figure) is not int or not least <= figure <= most:
        raise ValueError(_OUT_OF_BOUNDS)
    return figure


def _time(figure: Any, latest_us: int) -> int:
    return _whole(figure, NEVER, latest_us + AHEAD_US)


def _real(figure: Any, least: float, most: float) -> float:
    if type(figure) not in (int, float) or not least <= figure <= most:  # NaN fails this, too
        raise ValueError(_OUT_OF_BOUNDS)
    return float(figure)
