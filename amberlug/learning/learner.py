"""Maintains statistics on partners across restarts: records observations, and returns their decayed state.

All I/O goes through the store.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import replace
from itertools import islice

from amberlug.core.log import log
from amberlug.core.ports import Clock, LegacyEndpointState, LegacyState, RequestedPause
from amberlug.learning import codec, decay
from amberlug.learning.blocks import Timestamp
from amberlug.learning.codec import Baseline, DestinationRecord
from amberlug.learning.store import Store
from amberlug.policy import interface as api
from amberlug.policy.account import INITIAL_ANSWER_US, UNLIMITED
from amberlug.policy.state import NEVER

HOUR_MS = 3_600_000
WAIT_RETENTION_US = 600_000_000  # retention of a requested wait beyond its end: the next one may be as long
MAX_PAUSE_MS = 400 * 24 * HOUR_MS  # longest pause accepted from the wall clock
MAX_RESPONSE_TIMES = 256  # per destination: buffered ones, and the total weight above which it is halved
MAX_REUSE_COUNT = 64  # calls per idle time bin before its counts are halved
KIND_SMOOTHING = 0.02  # weight of a destination's latest response time in the baseline of its kind
TENANT_RATE_HALF_LIFE_US = 10 * 60_000_000
EXPIRY_CHECKS = 4  # records checked for expiry at each update


class Learner:
    """Maintains the stored records by the clock of this boot; rejects all of them if one is invalid."""

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store, self._clock = store, clock
        self._answers: dict[int, list[int]] = defaultdict(list)
        self._reuses: dict[int, list[tuple[str, int, bool]]] = defaultdict(list)
        self._sent: dict[str, int] = defaultdict(int)
        self._sent_us = clock.now_us()
        self.rejected = store.rejected
        self._load_records()
        store.ensure_writable()

    def _stamp(self) -> Timestamp:
        return Timestamp(self._clock.wall_ms(), self._clock.now_us(), self._clock.boot)

    # Startup.

    def _load_records(self) -> None:
        """Validate all records, and convert their times if they are by the clock of another boot."""
        was, now = self._store.stamp, self._stamp()
        try:
            codec.check(self._store.records.items(), was.clock_us)
            if was.boot and was.boot == now.boot and was.clock_us > now.clock_us:
                raise ValueError("its timestamp is in the future")
        except ValueError as error:
            # If one value is out of bounds, none is trusted: partial data is not used.
            self.rejected.append(f"learned data rejected: {error}")
            log(f"learning: {self.rejected[-1]}")
            self._store.replace_records(now, {})
            return
        if not self._store.records:
            self._store.stamp = now
        elif not now.boot or was.boot != now.boot:
            pause_ms = min(MAX_PAUSE_MS, max(0, now.wall_ms - was.wall_ms))
            self._store.replace_records(
                now, self._converted_records(now, now.clock_us - was.clock_us - pause_ms * 1000, was)
            )

    def _converted_records(self, now: Timestamp, shift_us: int, was: Timestamp) -> dict[bytes, bytes]:
        shifted = {}
        for key, record in self._store.records.items():
            if key[:1] == codec.DESTINATION:
                kept = codec.unpack_destination(record, was.clock_us)
                kept.known, kept.updated_us = shift_times(kept.known, shift_us), kept.updated_us + shift_us
                shifted[key] = codec.pack_destination(kept)
            elif key[:1] == codec.WAIT:
                # The wall clock is not trusted here: after a reboot the whole wait starts over.
                wait = codec.unpack_wait(record, was.clock_us)
                until_us = now.clock_us + wait.left_us(now.clock_us, now.boot)
                shifted[key] = codec.pack_wait(replace(wait, until_us=until_us, boot=now.boot))
            else:
                usual = codec.unpack_baseline(record, was.clock_us)
                usual.updated_us += shift_us
                shifted[key] = codec.pack_baseline(usual)
        return shifted

    def take_over(self, earlier: LegacyState, listed: Callable[[str], api.Entry | None]) -> None:
        """Import the data of an earlier release, unless the store had any; see `Learning`."""
        if self._store.had_generation or earlier == LegacyState():
            return
        now = self._stamp()
        pause_ms = min(MAX_PAUSE_MS, max(0, now.wall_ms - earlier.wall_ms))
        shift_us = now.clock_us - earlier.clock_us - pause_ms * 1000
        seen_us = min(now.clock_us, earlier.clock_us + shift_us)
        records = [
            (
                codec.destination_key(known.destination),
                codec.pack_destination(DestinationRecord(shift_times(known, shift_us), seen_us)),
            )
            for known in _group_by_destination(earlier.seen, listed)
        ]
        for wait in earlier.waits:
            until_us = now.clock_us + wait.left_us(now.clock_us, now.boot)
            kept_wait = replace(wait, until_us=until_us, boot=now.boot)
            records.append((codec.wait_key(wait), codec.pack_wait(kept_wait)))
        self._store_valid(records, now)

    # Interface to the core.

    def recall(self, destination: int, entries: tuple[api.Entry, ...]) -> api.KnownDestination | None:
        """Return the decayed state of a destination with these listed endpoints; None if unknown."""
        now_us = self._clock.now_us()
        record = self._store.records.get(codec.destination_key(destination))
        kept = (
            DestinationRecord(api.KnownDestination(destination), now_us)
            if record is None
            else self._unpack(record)
        )
        usual = {it.kind: self._baseline(codec.KIND, it.kind) for it in entries}
        gap_us = max(0, now_us - kept.updated_us)
        known = applicable_state(kept.known, entries, now_us, gap_us, usual)
        known = replace(known, routes=tuple(self._with_waits(known, entries, now_us)))
        return known if known.routes or known.endpoints else None

    def _with_waits(
        self, known: api.KnownDestination, entries: tuple[api.Entry, ...], now_us: int
    ) -> Iterable[api.KnownRoute]:
        routes = {it.route: it for it in known.routes}
        prefix = codec.WAIT + f"{known.destination}/".encode()
        names = {"", *routes, *(it.endpoint for it in entries)}
        for name in sorted(names):
            route = routes.get(name)
            if (record := self._store.records.get(prefix + name.encode())) is not None:
                wait = codec.unpack_wait(record, now_us + codec.MAX_WAIT_US)
                until_us = now_us + wait.left_us(now_us, self._clock.boot)
                route = route or api.KnownRoute(name, INITIAL_ANSWER_US, 1.0, 0, UNLIMITED, 0)
                route = replace(route, blocked_until_us=until_us, last_retry_after_us=wait.length_us)
            if route is not None:
                yield route

    def _unpack(self, record: bytes) -> DestinationRecord:
        return codec.unpack_destination(record, self._clock.now_us())

    def _baseline(self, sort: bytes, name: str) -> Baseline:
        record = self._store.records.get(sort + name.encode())
        return Baseline(NEVER) if record is None else codec.unpack_baseline(record, self._clock.now_us())

    def observe(self, known: Sequence[api.KnownDestination]) -> None:
        """Store the current state of some destinations, and update the baselines."""
        if not known and not self._sent:
            return
        now = self._stamp()
        records = [self._update_destination(it, now) for it in known]
        if len(self._answers) + len(self._reuses) > codec.MAX_ITEMS:  # of destinations that no longer exist
            self._answers.clear()
            self._reuses.clear()
        records += self._update_kinds(known, now)
        records += self._update_tenants(now)
        records += self._expired_records(now.clock_us)
        self._store_valid(records, now)

    def _store_valid(self, records: Sequence[tuple[bytes, bytes]], now: Timestamp) -> None:
        """Store valid records only: the next start rejects all records if one is invalid."""
        sound = []
        for record in records:
            try:
                codec.check([record] if record[1] else [], now.clock_us)
            except ValueError:  # for instance a name that is too long: this partner's data can't be stored
                continue
            sound.append(record)
        self._store.put(sound, now)

    def _update_destination(self, known: api.KnownDestination, now: Timestamp) -> tuple[bytes, bytes]:
        key = codec.destination_key(known.destination)
        record = self._store.records.get(key)
        kept = DestinationRecord(known, now.clock_us) if record is None else self._unpack(record)
        decay_weight = decay.weight(now.clock_us - kept.updated_us, decay.BASELINE_HALF_LIFE_US)
        kept.known, kept.updated_us = known, now.clock_us
        for took_us in self._answers.pop(known.destination, ()):
            number = codec.response_bin(took_us)
            kept.response_times[number] = kept.response_times.get(number, 0.0) + 1.0
        if decay_weight < 0.99 or sum(kept.response_times.values()) > MAX_RESPONSE_TIMES:
            part = min(decay_weight, 0.5 if sum(kept.response_times.values()) > MAX_RESPONSE_TIMES else 1.0)
            kept.response_times = {
                at: w * part for at, w in kept.response_times.items() if w * part >= decay.MIN_WEIGHT
            }
        self._update_reuse_counts(kept, decay_weight)
        week, hour = divmod(now.wall_ms // HOUR_MS, codec.WEEK_HOURS)
        was = kept.active_hours.get(hour)
        if week >= 0 and (was is None or was[0] != week):
            usual = decay.hour_weight(was, week)
            kept.active_hours[hour] = week, usual + (1 - usual) * 0.5
        return key, codec.pack_destination(kept)

    def _update_reuse_counts(self, kept: DestinationRecord, decay_weight: float) -> None:
        """Count calls on idle connections; older counts decay."""
        names = {it.entry.endpoint for it in kept.known.endpoints}
        kept.reuse_counts = {name: bins for name, bins in kept.reuse_counts.items() if name in names}
        for name, idle_us, reset in self._reuses.pop(kept.known.destination, ()):
            if name in names:
                bins = kept.reuse_counts.setdefault(name, {})
                at = codec.idle_bin(idle_us)
                used, resets = bins.get(at, (0.0, 0.0))
                part = 0.5 if used >= MAX_REUSE_COUNT else 1.0
                bins[at] = used * part + 1.0, resets * part + reset
        if decay_weight < 0.99:
            for name, bins in kept.reuse_counts.items():
                faded = {
                    at: (used * decay_weight, resets * decay_weight) for at, (used, resets) in bins.items()
                }
                kept.reuse_counts[name] = {at: it for at, it in faded.items() if it[0] >= decay.MIN_WEIGHT}

    def _update_kinds(
        self, known: Sequence[api.KnownDestination], now: Timestamp
    ) -> list[tuple[bytes, bytes]]:
        """Update the baselines of kinds by an exponential moving average over the observed destinations."""
        changed: dict[str, Baseline] = {}
        for it in known:
            for endpoint in it.endpoints[:1]:
                kind = endpoint.entry.kind
                usual = changed.setdefault(kind, self._baseline(codec.KIND, kind))
                answer_us = float(it.routes[0].usual_us) if it.routes else 0.0
                part = KIND_SMOOTHING if usual.response_us else 1.0
                usual.response_us += (answer_us - usual.response_us) * part
                usual.failure_rate += (endpoint.failure_rate - usual.failure_rate) * KIND_SMOOTHING
                usual.updated_us = now.clock_us
        return [(codec.KIND + kind.encode(), codec.pack_baseline(usual)) for kind, usual in changed.items()]

    def _update_tenants(self, now: Timestamp) -> list[tuple[bytes, bytes]]:
        past_us = now.clock_us - self._sent_us
        if not self._sent or past_us < TENANT_RATE_HALF_LIFE_US // 60:
            return []
        sent, self._sent, self._sent_us = self._sent, defaultdict(int), now.clock_us
        part = 1 - decay.weight(past_us, TENANT_RATE_HALF_LIFE_US)
        records = []
        for tenant, count in sent.items():
            usual = self._baseline(codec.TENANT, tenant)
            usual.rate += (count * 1e6 / past_us - usual.rate) * part
            usual.updated_us = now.clock_us
            records.append((codec.TENANT + tenant.encode(), codec.pack_baseline(usual)))
        return records

    def _expired_records(self, now_us: int) -> list[tuple[bytes, bytes]]:
        """Return deletions for expired records among the few that were written longest ago."""
        deletions = []
        for name, value in islice(self._store.records.items(), EXPIRY_CHECKS):
            if name[:1] == codec.WAIT:
                expired = (
                    codec.unpack_wait(value, now_us + codec.MAX_WAIT_US).until_us + WAIT_RETENTION_US < now_us
                )
            elif name[:1] == codec.DESTINATION:
                expired = self._unpack(value).updated_us + decay.RETENTION_US < now_us
            else:
                expired = codec.unpack_baseline(value, now_us).updated_us + decay.RETENTION_US < now_us
            if expired:
                deletions.append((name, b""))
        return deletions

    def answered(self, destination: int, took_us: int) -> None:
        """Buffer a response time until the destination is observed next."""
        waiting = self._answers[destination]
        if len(waiting) < MAX_RESPONSE_TIMES:
            waiting.append(took_us)

    def reused(self, destination: int, endpoint: str, idle_us: int, reset: bool) -> None:
        """Buffer a call on a reused connection until the destination is observed next."""
        waiting = self._reuses[destination]
        if len(waiting) < MAX_RESPONSE_TIMES:
            waiting.append((endpoint, idle_us, reset))

    def sent(self, tenant: str | None) -> None:
        """Count a message of a tenant."""
        if tenant is not None:
            self._sent[tenant] += 1

    def told(self, wait: RequestedPause) -> None:
        """Store a requested wait immediately, unless a longer one is stored."""
        now = self._stamp()
        key = codec.wait_key(wait)
        if (record := self._store.records.get(key)) is not None:
            known = codec.unpack_wait(record, now.clock_us + codec.MAX_WAIT_US)
            if known.left_us(now.clock_us, wait.boot) >= wait.length_us:
                return  # a longer wait is already stored
        self._store_valid([(key, codec.pack_wait(wait))], now)

    # Operator commands.

    def destinations(self) -> Iterator[tuple[DestinationRecord, list[tuple[str, int]]]]:
        """Yield each destination's data, with its routes that still wait and the microseconds left."""
        now_us = self._clock.now_us()
        waits: dict[int, list[tuple[str, int]]] = defaultdict(list)
        kept: dict[int, DestinationRecord] = {}
        for key, record in self._store.records.items():
            if key[:1] == codec.WAIT:
                wait = codec.unpack_wait(record, now_us + codec.MAX_WAIT_US)
                if (left_us := wait.left_us(now_us, self._clock.boot)) > 0:
                    waits[wait.destination].append((wait.route, left_us))
            elif key[:1] == codec.DESTINATION:
                one = self._unpack(record)
                kept[one.known.destination] = one
        for number in sorted({*kept, *waits}):
            yield kept.get(number) or DestinationRecord(api.KnownDestination(number), now_us), waits[number]

    def baselines(self) -> Iterator[tuple[str, str, Baseline]]:
        """Yield the baselines of kinds and tenants: "kind" or "tenant", the name, and the values."""
        now_us = self._clock.now_us()
        for key, record in sorted(self._store.records.items()):
            if key[:1] in (codec.KIND, codec.TENANT):
                sort = "kind" if key[:1] == codec.KIND else "tenant"
                yield sort, key[1:].decode(), codec.unpack_baseline(record, now_us)

    def forget(self, destination: int, endpoint: str | None = None) -> bool:
        """Delete a destination's data except its requested waits, or one endpoint's health.

        Returns whether anything was deleted.
        """
        key = codec.destination_key(destination)
        if (record := self._store.records.get(key)) is None:
            return False
        kept = self._unpack(record)
        left = tuple(it for it in kept.known.endpoints if it.entry.endpoint != endpoint)
        if endpoint is not None and len(left) == len(kept.known.endpoints):
            return False
        kept.known = replace(kept.known, endpoints=left)
        self._store.put([(key, b"" if endpoint is None else codec.pack_destination(kept))], self._stamp())
        return True

    def free_disk_space(self) -> None:
        """Free disk space for the journal."""
        self._store.free_disk_space()

    def work(self) -> int | None:
        """Do a slice of pending work; returns the microseconds until the next call, or None."""
        return self._store.work()

    def close(self) -> None:
        """Write pending records and close the store."""
        self._store.close()


def applicable_state(
    known: api.KnownDestination,
    entries: tuple[api.Entry, ...],
    now_us: int,
    gap_us: int,
    usual: dict[str, Baseline],
) -> api.KnownDestination:
    """Return what still applies to a destination, given its currently listed endpoints.

    A route's limit and response times apply while an endpoint of the same kind serves it. An endpoint that
    was restarted under the same id keeps only the cold-start limit that follows an outage.
    """
    listed = {it.endpoint: it for it in entries}
    kinds = {it.entry.endpoint: it.entry.kind for it in known.endpoints}
    endpoints = []
    for it in known.endpoints:
        entry = listed.get(it.entry.endpoint)
        if entry is None:
            endpoints.append(it)  # it may be listed later, and its state is needed then
        elif entry.kind == it.entry.kind:
            decayed = decay.decayed_endpoint(
                it, now_us, gap_us, _kind_baseline(usual, entry.kind).failure_rate
            )
            endpoints.append(decayed if _same_start(it.entry, entry) else _state_after_restart(decayed))
    same_kinds = not kinds or not listed or set(kinds.values()) & {it.kind for it in entries}
    routes = []
    for route in known.routes:
        entry = listed.get(route.route)
        if route.route and (entry is None or entry.kind != kinds.get(route.route)):
            continue  # a separate route whose endpoint is not listed, or was replaced by one of another kind
        if same_kinds:
            kind = entry.kind if entry is not None else next(iter(listed.values())).kind if listed else ""
            routes.append(decay.decayed_route(route, now_us, gap_us, _kind_baseline(usual, kind).response_us))
    if not known.routes:
        routes += [
            api.KnownRoute(route, int(answer_us), 1.0, 0, UNLIMITED, 0)
            for route, answer_us in _baseline_response_times(entries, usual)
        ]
    return api.KnownDestination(known.destination, tuple(routes), tuple(endpoints))


def _baseline_response_times(
    entries: tuple[api.Entry, ...], usual: dict[str, Baseline]
) -> Iterable[tuple[str, float]]:
    """Yield the baseline response time of its kind, for a destination without data."""
    for it in entries:
        if (answer_us := _kind_baseline(usual, it.kind).response_us) > 0:
            yield "", answer_us
            yield it.endpoint, answer_us  # the decision module uses the one that applies


def _group_by_destination(
    rows: Sequence[LegacyEndpointState], listed: Callable[[str], api.Entry | None]
) -> Iterable[api.KnownDestination]:
    """Group what an earlier release stored by the currently listed destinations."""
    grouped: dict[int, list[tuple[api.Entry, LegacyEndpointState]]] = defaultdict(list)
    for row in rows:
        if (entry := listed(row.endpoint)) is not None and entry.state is api.State.IN:
            grouped[entry.destination].append((entry, row))
    for number, group in grouped.items():
        endpoints = [
            api.KnownEndpoint(
                entry,
                it.cold,
                it.since_us,
                it.failed_us,
                it.done_us,
                it.back_us,
                it.failure_rate,
                it.swallows,
                1.0,
                (),
            )
            for entry, it in group
        ]
        limits = {
            route: api.KnownRoute(route, INITIAL_ANSWER_US, 1.0, 0, it.learned, it.learned_us)
            for entry, it in group
            for route in ("", entry.endpoint)  # the decision module uses the one that applies
        }
        yield api.KnownDestination(number, tuple(limits.values()), tuple(endpoints))


def _kind_baseline(usual: dict[str, Baseline], kind: str) -> Baseline:
    return usual.get(kind) or Baseline(NEVER)


def _same_start(was: api.Entry, entry: api.Entry) -> bool:
    return not (was.up_since_ms and entry.up_since_ms) or was.up_since_ms == entry.up_since_ms


def _state_after_restart(it: api.KnownEndpoint) -> api.KnownEndpoint:
    """Return the state of an endpoint that was restarted: after an outage it is back, and cold."""
    return replace(
        it,
        failure_rate=0.0,
        may_have_run=False,
        last_success_us=NEVER,
        recovered_us=None,
        last_failure_us=it.last_failure_us if it.cold else NEVER,
    )


def shift_times(known: api.KnownDestination, by_us: int) -> api.KnownDestination:
    """Shift all times, to convert them to another clock."""

    def shifted_time(at_us: int) -> int:
        """Shift a time in microseconds; `NEVER` is kept, and no other time becomes `NEVER`."""
        return at_us if at_us == NEVER else max(NEVER + 1, at_us + by_us)

    return replace(
        known,
        routes=tuple(
            replace(it, throughput_us=shifted_time(it.throughput_us), learned_us=shifted_time(it.learned_us))
            for it in known.routes
        ),
        endpoints=tuple(
            replace(
                it,
                outage_since_us=shifted_time(it.outage_since_us),
                last_failure_us=shifted_time(it.last_failure_us),
                last_success_us=shifted_time(it.last_success_us),
                recovered_us=None if it.recovered_us is None else shifted_time(it.recovered_us),
                starts=tuple(shifted_time(at_us) for at_us in it.starts),
            )
            for it in known.endpoints
        ),
    )
