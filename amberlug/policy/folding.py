"""What is kept of a destination that sleeps, and for how long.

A destination is awake from its first message until it has been quiet for a while. Folded away, only numbers
are left of it that a later decision would miss: told waits, limits and answer times learned, outages and the
starts that bound a cold endpoint. They go too once they mean nothing any more. Whether a destination was
folded away meanwhile never changes what is decided for it.
"""

from __future__ import annotations

import marshal
from collections import deque

from amberlug.policy.account import FIRST_GUESS_US, KEPT, OPEN, SECOND, TRIES, Account
from amberlug.policy.interface import Known, KnownEndpoint, KnownRoute, Settings
from amberlug.policy.state import NEVER, Destination, Endpoint

QUIET_US = 10 * SECOND  # least time without a message or call until a destination is folded away
FORGET_US = 600 * SECOND  # after so long answer times, pace and failures of what was not in an outage are old
LEAST_TABLE = 4  # connections that a small table is taken to hold for relays that keep theirs
LOOKS = 8  # destinations that each step looks at, at most: more fold sooner, and make a step dearer


def crowd(settings: Settings) -> float:
    """Relays for each connection of a small table; where it is over 1, not every relay may keep one."""
    return settings.relays / LEAST_TABLE


def first_keep_us(settings: Settings) -> int:
    """How long an idle connection is kept where nothing is known of an endpoint's table, in microseconds."""
    return int(settings.idle_us / max(1.0, crowd(settings)))


def quiet_us(settings: Settings) -> int:
    """How long a destination must have been quiet: connections are closed, and all buckets out of w."""
    longest = max(kind.deadline_us for kind in settings.classes.values()) // TRIES  # of a stretched w
    return max(QUIET_US, settings.idle_us, longest) + SECOND


def may_fold(to: Destination, now_us: int, settings: Settings) -> bool:
    """Whether nothing is held for a destination or out to it, and no connection is kept."""
    if to.gone:
        return not (to.held or told_to_wait(to, now_us))
    if to.held or now_us - to.used_us < quiet_us(settings):
        return False
    for endpoint in to.endpoints.values():
        endpoint.forget_idle(now_us - settings.idle_us)
        if endpoint.out or endpoint.idle or now_us < endpoint.table_until:
            return False
    accounts = to.accounts.values()
    return not any(it.reserved or any(it.inside(now_us)) for it in accounts)


def told_to_wait(to: Destination, now_us: int) -> bool:
    """Whether a told wait runs; it holds for whoever serves the destination next."""
    return any(account.blocked_until > now_us for account in to.accounts.values())


def start_afresh(account: Account) -> None:
    """Forget what was learned at endpoints that are gone, but for a told wait and calls that are out."""
    account.usual_us, account.pace, account.pace_us = FIRST_GUESS_US, 1.0, 0
    account.learned, account.learned_us, account.listed = OPEN, 0, None
    account.streak, account.paused_until = 0, 0
    account.set_rate(None)


def forget(to: Destination, now_us: int) -> None:
    """Forget what is too old to mean anything, of a destination that was not used for FORGET_US."""
    # Guards against answer times and failures of weeks ago that decide today's first calls. Could do harm to
    # what is slow as a rule: its first call is overdue sooner than need be, and held as a reservation less.
    for account in to.accounts.values():
        account.usual_us, account.pace, account.pace_us = FIRST_GUESS_US, 1.0, 0
        if account.blocked_until <= now_us:
            account.blocked_until = 0
        if account.limit(now_us) >= account.units:
            account.learned, account.learned_us, account.stretched = OPEN, 0, account.window
            account.streak, account.paused_until = 0, 0
        if account.listed != account.rate:
            account.set_rate(account.listed)
    for endpoint in to.endpoints.values():
        if not endpoint.cold:
            endpoint.failed_us = endpoint.done_us = endpoint.since_us = NEVER
            endpoint.failure_rate, endpoint.spread = 0.0, 1.0
            endpoint.swallows, endpoint.back_us = False, None
            endpoint.keep_us, endpoint.unmet = first_keep_us(endpoint.account.settings), 0
            endpoint.starts.clear()


def _account_numbers(it: Account) -> tuple[float | int | None, ...]:
    return (
        it.rate,
        it.listed,
        it.blocked_until,
        it.usual_us,
        it.learned,
        it.learned_us,
        it.stretched,
        it.pace,
        it.pace_us,
        it.streak,
        it.paused_until,
    )


def _endpoint_numbers(it: Endpoint) -> tuple[object, ...]:
    return (
        it.failed_us,
        it.done_us,
        it.swallows,
        it.failure_rate,
        it.cold,
        it.since_us,
        it.spread,
        it.back_us,
        it.keep_us,
        it.unmet,
        tuple(it.starts),
    )


def fold(to: Destination, now_us: int, settings: Settings) -> bytes:
    """What must be kept of a destination; nothing where a new one would be the same."""
    fresh_us = first_keep_us(settings)
    accounts = {
        where: _account_numbers(it)
        for where, it in to.accounts.items()
        if _account_numbers(it) != _account_numbers(Account(settings, it.listed))
    }
    endpoints = {
        name: _endpoint_numbers(it)
        for name, it in to.endpoints.items()
        if _endpoint_numbers(it) != _endpoint_numbers(Endpoint(it.entry, it.account, keep_us=fresh_us))
    }
    if not accounts and not endpoints and to.timer_us <= now_us:
        return b""
    return marshal.dumps((to.used_us, to.timer_us, accounts, endpoints))


def unfold(to: Destination, kept: bytes, settings: Settings) -> None:
    """Put back what was kept, into a destination just made from the list."""
    to.used_us, to.timer_us, accounts, endpoints = marshal.loads(kept)
    for where, numbers in accounts.items():
        account = to.accounts.setdefault(where, Account(settings, None))  # all may drain by now
        rate, account.listed, *rest = numbers
        account.set_rate(rate)
        (
            account.blocked_until,
            account.usual_us,
            account.learned,
            account.learned_us,
            account.stretched,
            account.pace,
            account.pace_us,
            account.streak,
            account.paused_until,
        ) = rest
    for name, numbers in endpoints.items():
        it = to.endpoints[name]
        (
            it.failed_us,
            it.done_us,
            it.swallows,
            it.failure_rate,
            it.cold,
            it.since_us,
            it.spread,
            it.back_us,
            it.keep_us,
            it.unmet,
            starts,
        ) = numbers
        it.starts = deque(starts, maxlen=KEPT)


def known(to: Destination) -> Known:
    """What is to be kept of a destination beyond this life."""
    routes = [
        KnownRoute(where, it.usual_us, it.pace, it.pace_us, it.learned, it.learned_us)
        for where, it in to.accounts.items()
    ]
    endpoints = [
        KnownEndpoint(
            it.entry,
            it.cold,
            it.since_us,
            it.failed_us,
            it.done_us,
            it.back_us,
            it.failure_rate,
            it.swallows,
            it.spread,
            tuple(it.starts) if it.cold else (),
        )
        for it in to.endpoints.values()
    ]
    return Known(to.number, tuple(routes), tuple(endpoints))


def believe(to: Destination, told: Known, settings: Settings) -> None:
    """Go on with what is believed of a destination that was just made from the list."""
    for route in told.routes:
        if to.accounts and route.route not in to.accounts and not route.blocked_until_us:
            continue
        it = to.accounts.setdefault(route.route, Account(settings, None))  # all may drain by now
        it.usual_us, it.pace, it.pace_us = route.usual_us, route.pace, route.pace_us
        it.learned, it.learned_us = route.learned, route.learned_us
        it.stretched = int(it.window / min(1.0, it.learned))
        it.blocked_until, it.told_us = max(it.blocked_until, route.blocked_until_us), route.told_us
    for endpoint in told.endpoints:
        if (of := to.endpoints.get(endpoint.entry.endpoint)) is not None:
            of.cold, of.since_us, of.failed_us = endpoint.cold, endpoint.since_us, endpoint.failed_us
            of.done_us, of.back_us, of.swallows = endpoint.done_us, endpoint.back_us, endpoint.swallows
            of.failure_rate, of.spread = endpoint.failure_rate, endpoint.spread
            of.starts.extend(endpoint.starts)
        else:
            to.awaited.add(endpoint.entry.endpoint)
