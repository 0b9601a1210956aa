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

from amberlug.core.ports import RequestedPause
from amberlug.policy import interface as api
from amberlug.policy.account import HISTORY_SIZE, UNLIMITED
from amberlug.policy.state import NEVER

DESTINATION, WAIT, KIND, TENANT = b"D", b"W", b"K", b"T"
MAX_NAME_CHARS = 1024  # characters of the name of an endpoint, kind or zone
MAX_ITEMS = 4096  # endpoints or routes of one destination
MAX_RATE = 1e9  # calls per second, or per window
MAX_WAIT_US = 3_600_000_000
CLOCK_TOLERANCE_US = 1_000_000  # by which a record may be later than the timestamp it is validated against
RESPONSE_BIN_RATIO = 1.15  # ratio of adjacent response time bins: quantiles are at most 7% off
RESPONSE_BINS = 256
IDLE_BINS = 24
WEEK_HOURS = 168
_NUMBER = (int, float)
_OUT_OF_BOUNDS = "value out of bounds"


@dataclass(slots=True)
class DestinationRecord:
    """All that is stored about one destination."""

    known: api.KnownDestination
    updated_us: int  # time of the last update
    response_times: dict[int, float] = field(default_factory=dict)  # weight of each response time bin
    # By hour of the week: the last week in which the destination was active then, and how regular that is.
    active_hours: dict[int, tuple[int, float]] = field(default_factory=dict)
    # By endpoint and idle time bin: calls on reused connections, and how many of them were reset.
    reuse_counts: dict[str, dict[int, tuple[float, float]]] = field(default_factory=dict)


@dataclass(slots=True)
class Baseline:
    """Baseline of a kind of endpoint, or of a tenant's traffic."""

    updated_us: int
    response_us: float = 0.0  # median response time; 0 if unknown
    failure_rate: float = 0.0
    rate: float = 0.0  # messages per second


def response_bin(took_us: int) -> int:
    """Return the bin of a response time."""
    return min(RESPONSE_BINS - 1, int(math.log(max(1, took_us)) / math.log(RESPONSE_BIN_RATIO)))


def idle_bin(idle_us: int) -> int:
    """Return the bin of an idle time; bins double in width, from 1 ms on."""
    return min(IDLE_BINS - 1, max(0, idle_us // 1000).bit_length())


def quantile(response_times: dict[int, float], fraction: float) -> float:
    """Return a quantile of the response times, in microseconds; 0 if there are none."""
    remaining = sum(response_times.values()) * fraction
    for number in sorted(response_times):
        remaining -= response_times[number]
        if remaining <= 0:
            return float(RESPONSE_BIN_RATIO ** (number + 0.5))
    return 0.0


def destination_key(number: int) -> bytes:
    """Return the key of a destination's record."""
    return DESTINATION + str(number).encode()


def wait_key(wait: RequestedPause) -> bytes:
    """Return the key of a requested wait's record."""
    return WAIT + f"{wait.destination}/{wait.route}".encode()


def pack_destination(destination: DestinationRecord) -> bytes:
    """Encode a destination's record."""
    known = destination.known
    routes = [
        [
            it.route,
            min(it.usual_us, MAX_WAIT_US),
            it.throughput,
            it.throughput_us,
            it.learned if it.learned < UNLIMITED else None,
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
            it.outage_since_us,
            it.last_failure_us,
            it.last_success_us,
            it.recovered_us,
            it.failure_rate,
            it.may_have_run,
            it.jitter,
            it.starts,
        ]
        for it in known.endpoints
    ]
    return bytes(
        msgpack.packb(
            [
                known.destination,
                destination.updated_us,
                routes,
                endpoints,
                destination.response_times,
                destination.active_hours,
                destination.reuse_counts,
            ]
        )
    )


def _known_endpoint(destination: int, row: list[Any]) -> api.KnownEndpoint:
    """Decode the row of one endpoint in a destination's record."""
    name, kind, zone, up_since_ms, cold, since, failed, done, back, rate, swallows, spread, starts = row
    entry = api.Entry(name, zone, kind, destination, api.State.IN, 0.0, up_since_ms=up_since_ms)
    return api.KnownEndpoint(entry, cold, since, failed, done, back, rate, swallows, spread, tuple(starts))


def unpack_destination(record: bytes, latest_us: int) -> DestinationRecord:
    """Decode a destination's record; raises `ValueError` if it is invalid or has a time after `latest_us`."""
    fields = _checked_fields(record, latest_us + CLOCK_TOLERANCE_US)
    number, updated_us, routes, endpoints, response_times, active_hours, reuse_counts = fields
    known = api.KnownDestination(
        number,
        tuple(
            [
                api.KnownRoute(
                    route,
                    usual_us,
                    throughput,
                    throughput_us,
                    UNLIMITED if learned is None else learned,
                    learned_us,
                )
                for route, usual_us, throughput, throughput_us, learned, learned_us in routes
            ]
        ),
        tuple([_known_endpoint(number, row) for row in endpoints]),
    )
    reused = {name: {at: (it[0], it[1]) for at, it in bins.items()} for name, bins in reuse_counts.items()}
    return DestinationRecord(
        known,
        updated_us,
        response_times,
        {hour: (was[0], was[1]) for hour, was in active_hours.items()},
        reused,
    )


def _checked_fields(record: bytes, latest_us: int) -> list[Any]:
    """Return the fields of a destination's record, after checking the type and bounds of every value.

    Inlined comparisons for speed: up to 50,000 records are checked before a relay starts. NaN fails every
    bounds check.
    """
    try:
        fields: list[Any] = _load(record)
        number, updated_us, routes, endpoints, response_times, active_hours, reuse_counts = fields
        valid = type(number) is int and type(updated_us) is int and NEVER <= updated_us <= latest_us
        valid = valid and type(routes) is list and type(endpoints) is list
        valid = valid and len(routes) <= MAX_ITEMS and len(endpoints) <= MAX_ITEMS
        for route, usual_us, throughput, throughput_us, learned, learned_us in routes:
            valid = (
                valid
                and type(route) is str
                and len(route) <= MAX_NAME_CHARS
                and type(usual_us) is int
                and 0 <= usual_us <= MAX_WAIT_US
                and type(throughput) in _NUMBER
                and 0 <= throughput <= MAX_RATE
                and type(throughput_us) is int
                and NEVER <= throughput_us <= latest_us
                and (learned is None or (type(learned) in _NUMBER and 1e-9 <= learned <= MAX_RATE))
                and type(learned_us) is int
                and NEVER <= learned_us <= latest_us
            )
        for (
            name,
            kind,
            zone,
            up,
            cold,
            since,
            failed,
            done,
            back,
            rate,
            swallows,
            spread,
            starts,
        ) in endpoints:
            valid = (
                valid
                and type(name) is str
                and 0 < len(name) <= MAX_NAME_CHARS
                and type(kind) is str
                and len(kind) <= MAX_NAME_CHARS
                and type(zone) is str
                and len(zone) <= MAX_NAME_CHARS
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
                and type(rate) in _NUMBER
                and 0 <= rate <= 1
                and type(spread) in _NUMBER
                and 0 <= spread <= 10
                and type(starts) is list
                and len(starts) <= HISTORY_SIZE
            )
            for start in starts:
                valid = valid and type(start) is int and NEVER <= start <= latest_us
        for at, weight in response_times.items():
            valid = valid and type(at) is int and 0 <= at < RESPONSE_BINS
            valid = valid and type(weight) in _NUMBER and 0 <= weight <= 1e12
        for hour, (week, weight) in active_hours.items():
            valid = valid and type(hour) is int and 0 <= hour < WEEK_HOURS and type(week) is int
            valid = valid and 0 <= week <= 1 << 20 and type(weight) in _NUMBER and 0 <= weight <= 1
        for name, bins in reuse_counts.items():
            valid = valid and type(name) is str and 0 < len(name) <= MAX_NAME_CHARS
            for at, (used, reset) in bins.items():
                valid = valid and type(at) is int and 0 <= at < IDLE_BINS
                valid = (
                    valid and type(used) in _NUMBER and type(reset) in _NUMBER and 0 <= reset <= used <= 1e12
                )
    except (TypeError, ValueError, AttributeError, msgpack.UnpackException) as error:
        raise ValueError(f"malformed record: {error}") from None
    if not valid:
        raise ValueError(_OUT_OF_BOUNDS)
    return fields


def pack_wait(wait: RequestedPause) -> bytes:
    """Encode a requested wait's record."""
    return bytes(msgpack.packb([wait.destination, wait.route, wait.length_us, wait.until_us, wait.boot]))


def unpack_wait(record: bytes, latest_us: int) -> RequestedPause:
    """Decode a requested wait; raises `ValueError` if it is invalid."""
    try:
        destination, route, length_us, until_us, boot = _load(record)
        length_us = _checked_int(length_us, 0, MAX_WAIT_US)
        return RequestedPause(
            _checked_int(destination, -(1 << 63), (1 << 63) - 1),
            _checked_name(route, 0),
            length_us,
            _checked_time(until_us, latest_us + length_us),
            _checked_name(boot, 0),
        )
    except (TypeError, msgpack.UnpackException) as error:
        raise ValueError(f"malformed record: {error}") from None


def pack_baseline(baseline: Baseline) -> bytes:
    """Encode the record of a kind or a tenant."""
    return bytes(
        msgpack.packb([baseline.updated_us, baseline.response_us, baseline.failure_rate, baseline.rate])
    )


def unpack_baseline(record: bytes, latest_us: int) -> Baseline:
    """Decode the record of a kind or a tenant; raises `ValueError` if it is invalid."""
    try:
        updated_us, response_us, failure_rate, rate = _load(record)
        return Baseline(
            _checked_time(updated_us, latest_us),
            _checked_float(response_us, 0, MAX_WAIT_US),
            _checked_float(failure_rate, 0, 1),
            _checked_float(rate, 0, MAX_RATE),
        )
    except (TypeError, msgpack.UnpackException) as error:
        raise ValueError(f"malformed record: {error}") from None


def check(records: Iterable[tuple[bytes, bytes]], latest_us: int) -> None:
    """Check that each record is valid and matches its key; raises `ValueError` otherwise."""
    for key, record in records:
        kind = key[:1]
        if kind == DESTINATION:
            if destination_key(_checked_fields(record, latest_us + CLOCK_TOLERANCE_US)[0]) != key:
                raise ValueError("record does not match its key")
        elif kind == WAIT:
            if wait_key(unpack_wait(record, latest_us)) != key:
                raise ValueError("record does not match its key")
        elif kind in (KIND, TENANT):
            unpack_baseline(record, latest_us)
        else:
            raise ValueError(f"unknown type of record: {key[:20]!r}")


def _load(record: bytes) -> Any:
    return msgpack.unpackb(record, strict_map_key=False)


def _checked_name(text: Any, minimum: int = 1) -> str:
    if not isinstance(text, str) or not minimum <= len(text) <= MAX_NAME_CHARS:
        raise ValueError(_OUT_OF_BOUNDS)
    return text


def _checked_int(value: Any, minimum: int, maximum: int) -> int:
    if type(value) is not int or not minimum <= value <= maximum:
        raise ValueError(_OUT_OF_BOUNDS)
    return value


def _checked_time(value: Any, latest_us: int) -> int:
    return _checked_int(value, NEVER, latest_us + CLOCK_TOLERANCE_US)


def _checked_float(value: Any, minimum: float, maximum: float) -> float:
    if type(value) not in (int, float) or not minimum <= value <= maximum:  # NaN fails this, too
        raise ValueError(_OUT_OF_BOUNDS)
    return float(value)
