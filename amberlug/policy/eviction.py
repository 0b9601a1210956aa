"""Compact summaries of idle destinations: what is kept after eviction, and for how long.

A destination is held in memory from its first message until it has been idle for a while. Its eviction leaves
only the numbers that later decisions need: Retry-After waits, learned limits and answer times, outages and
the call starts that limit a cold endpoint. They are discarded once they are out of date. Whether a
destination was evicted in the meantime never changes a decision about it.
"""

from __future__ import annotations

import marshal
from collections import deque

from amberlug.policy.account import HISTORY_SIZE, INITIAL_ANSWER_US, MIN_ATTEMPTS, SECOND, UNLIMITED, Account
from amberlug.policy.interface import KnownDestination, KnownEndpoint, KnownRoute, Settings
from amberlug.policy.state import NEVER, Destination, Endpoint

MIN_IDLE_US = 10 * SECOND  # minimum time without a message or call before a destination is evicted
OUTDATED_US = 600 * SECOND  # age at which answer times, throughput and non-outage failures are discarded
SMALL_TABLE_SIZE = 4  # assumed size of a small connection table that relays with idle connections share
CHECKS_PER_STEP = 8  # maximum destinations checked per step: more evict sooner but make a step more expensive


def relays_per_connection(settings: Settings) -> float:
    """Relays per connection of a small table; if more than 1, not every relay may keep a connection."""
    return settings.relays / SMALL_TABLE_SIZE


def initial_idle_keep_us(settings: Settings) -> int:
    """Idle keep time in microseconds while nothing is known about an endpoint's connection table."""
    return int(settings.idle_us / max(1.0, relays_per_connection(settings)))


def idle_before_eviction_us(settings: Settings) -> int:
    """Idle time before eviction: by then connections are closed and no bucket is in the window."""
    longest = max(kind.deadline_us for kind in settings.classes.values()) // MIN_ATTEMPTS  # maximum w
    return max(MIN_IDLE_US, settings.idle_us, longest) + SECOND


def can_evict(to: Destination, now_us: int, settings: Settings) -> bool:
    """Whether a destination can be evicted: no messages, no calls in flight and no connections."""
    if to.gone:
        return not (to.held or has_retry_after(to, now_us))
    if to.held or now_us - to.used_us < idle_before_eviction_us(settings):
        return False
    for endpoint in to.endpoints.values():
        endpoint.forget_idle(now_us - settings.idle_us)
        if endpoint.out or endpoint.idle or now_us < endpoint.table_full_until:
            return False
    accounts = to.accounts.values()
    return not any(it.reserved or any(it.buckets_in_window(now_us)) for it in accounts)


def has_retry_after(to: Destination, now_us: int) -> bool:
    """Whether a Retry-After wait is running; it also binds endpoints listed for the destination later."""
    return any(account.blocked_until > now_us for account in to.accounts.values())


def reset_learned(account: Account) -> None:
    """Reset what was learned from removed endpoints, except Retry-After waits and calls in flight."""
    account.usual_us, account.throughput, account.throughput_us = INITIAL_ANSWER_US, 1.0, 0
    account.learned, account.learned_us, account.listed = UNLIMITED, 0, None
    account.consecutive_refusals, account.paused_until = 0, 0
    account.set_rate(None)


def reset_outdated(to: Destination, now_us: int) -> None:
    """Reset outdated state of a destination that was not used for OUTDATED_US."""
    # Keeps answer times and failures of weeks ago from deciding today's first calls. Possible cost: at a slow
    # destination the first call is overdue too early, and counts as a reservation for a shorter time.
    for account in to.accounts.values():
        account.usual_us, account.throughput, account.throughput_us = INITIAL_ANSWER_US, 1.0, 0
        if account.blocked_until <= now_us:
            account.blocked_until = 0
        if account.limit(now_us) >= account.units:
            account.learned, account.learned_us, account.stretched_window = UNLIMITED, 0, account.window
            account.consecutive_refusals, account.paused_until = 0, 0
        if account.listed != account.rate:
            account.set_rate(account.listed)
    for endpoint in to.endpoints.values():
        if not endpoint.cold:
            endpoint.last_failure_us = endpoint.last_success_us = endpoint.outage_since_us = NEVER
            endpoint.failure_rate, endpoint.jitter = 0.0, 1.0
            endpoint.may_have_run, endpoint.recovered_us = False, None
            endpoint.idle_keep_us, endpoint.full_tables = initial_idle_keep_us(endpoint.account.settings), 0
            endpoint.starts.clear()


def _account_numbers(it: Account) -> tuple[float | int | None, ...]:
    return (
        it.rate,
        it.listed,
        it.blocked_until,
        it.usual_us,
        it.learned,
        it.learned_us,
        it.stretched_window,
        it.throughput,
        it.throughput_us,
        it.consecutive_refusals,
        it.paused_until,
    )


def _endpoint_numbers(it: Endpoint) -> tuple[object, ...]:
    return (
        it.last_failure_us,
        it.last_success_us,
        it.may_have_run,
        it.failure_rate,
        it.cold,
        it.outage_since_us,
        it.jitter,
        it.recovered_us,
        it.idle_keep_us,
        it.full_tables,
        tuple(it.starts),
    )


def serialize(to: Destination, now_us: int, settings: Settings) -> bytes:
    """Serialize the state to keep of a destination; empty if a new one would have the same state."""
    fresh_us = initial_idle_keep_us(settings)
    accounts = {
        where: _account_numbers(it)
        for where, it in to.accounts.items()
        if _account_numbers(it) != _account_numbers(Account(settings, it.listed))
    }
    endpoints = {
        name: _endpoint_numbers(it)
        for name, it in to.endpoints.items()
        if _endpoint_numbers(it) != _endpoint_numbers(Endpoint(it.entry, it.account, idle_keep_us=fresh_us))
    }
    if not accounts and not endpoints and to.timer_us <= now_us:
        return b""
    return marshal.dumps((to.used_us, to.timer_us, accounts, endpoints))


def restore(to: Destination, kept: bytes, settings: Settings) -> None:
    """Restore serialized state into a destination just created from the endpoint list."""
    to.used_us, to.timer_us, accounts, endpoints = marshal.loads(kept)
    for where, numbers in accounts.items():
        account = to.accounts.setdefault(where, Account(settings, None))  # all endpoints may be draining now
        rate, account.listed, *rest = numbers
        account.set_rate(rate)
        (
            account.blocked_until,
            account.usual_us,
            account.learned,
            account.learned_us,
            account.stretched_window,
            account.throughput,
            account.throughput_us,
            account.consecutive_refusals,
            account.paused_until,
        ) = rest
    for name, numbers in endpoints.items():
        it = to.endpoints[name]
        (
            it.last_failure_us,
            it.last_success_us,
            it.may_have_run,
            it.failure_rate,
            it.cold,
            it.outage_since_us,
            it.jitter,
            it.recovered_us,
            it.idle_keep_us,
            it.full_tables,
            starts,
        ) = numbers
        it.starts = deque(starts, maxlen=HISTORY_SIZE)


def known_state(to: Destination) -> KnownDestination:
    """Return the state of a destination to persist over a restart."""
    routes = [
        KnownRoute(where, it.usual_us, it.throughput, it.throughput_us, it.learned, it.learned_us)
        for where, it in to.accounts.items()
    ]
    endpoints = [
        KnownEndpoint(
            it.entry,
            it.cold,
            it.outage_since_us,
            it.last_failure_us,
            it.last_success_us,
            it.recovered_us,
            it.failure_rate,
            it.may_have_run,
            it.jitter,
            tuple(it.starts) if it.cold else (),
        )
        for it in to.endpoints.values()
    ]
    return KnownDestination(to.number, tuple(routes), tuple(endpoints))


def apply_known(to: Destination, known: KnownDestination, settings: Settings) -> None:
    """Apply persisted state to a destination just created from the endpoint list."""
    for route in known.routes:
        if to.accounts and route.route not in to.accounts and not route.blocked_until_us:
            continue
        it = to.accounts.setdefault(route.route, Account(settings, None))  # all endpoints may be draining now
        it.usual_us, it.throughput, it.throughput_us = route.usual_us, route.throughput, route.throughput_us
        it.learned, it.learned_us = route.learned, route.learned_us
        it.stretched_window = int(it.window / min(1.0, it.learned))
        it.blocked_until = max(it.blocked_until, route.blocked_until_us)
        it.last_retry_after_us = route.last_retry_after_us
    for endpoint in known.endpoints:
        if (of := to.endpoints.get(endpoint.entry.endpoint)) is not None:
            of.cold, of.outage_since_us = endpoint.cold, endpoint.outage_since_us
            of.last_failure_us, of.last_success_us = endpoint.last_failure_us, endpoint.last_success_us
            of.recovered_us, of.may_have_run = endpoint.recovered_us, endpoint.may_have_run
            of.failure_rate, of.jitter = endpoint.failure_rate, endpoint.jitter
            of.starts.extend(endpoint.starts)
        else:
            to.restored_unlisted.add(endpoint.entry.endpoint)
