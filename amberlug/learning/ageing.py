"""Decay of learned data over time: a half-life and a rule for each kind of value. No I/O.

The half-lives were chosen by the prediction error after pauses (`benchmarks/learning.py`; results are in
`docs/measurements/learning.md`). A wait that an endpoint requested does not decay: it is honored to its end.
"""

from __future__ import annotations

from dataclasses import replace

from amberlug.policy import interface as api
from amberlug.policy.account import FIRST_GUESS_US, OPEN, SECOND
from amberlug.policy.state import NEVER

MINUTE = 60 * SECOND
HOUR = 60 * MINUTE
DAY = 24 * HOUR

FAILURES_US = 15 * SECOND  # failure rate of an endpoint, towards the baseline of its kind
OUTAGE_US = 30 * MINUTE  # an outage whose end was not observed is assumed to last this long
LIMIT_US = 30 * MINUTE  # a learned limit doubles in each, until it is less strict than the listed rate
ANSWERS_US = 7 * DAY  # response times, towards the baseline of the kind
PACE_US = 30 * MINUTE  # this relay's own completed calls per second
USUAL_US = 7 * DAY  # baselines of kinds and tenants, and activity by hour of the week
FORGET_US = 60 * DAY  # records not updated for so long are deleted
LEAST = 0.05  # weight below which a value is ignored
LIFT_MOST = 16.0  # a limit that has grown by this factor is dropped
OUTAGE_RATE = 0.5  # lowest failure rate assumed of an endpoint in an outage


def weight(age_us: int, half_us: int) -> float:
    """Return the weight of a value of that age, from 1 down to 0."""
    return float(0.5 ** (max(0, age_us) / half_us)) if age_us < 64 * half_us else 0.0


def towards(value: float, prior: float, part: float) -> float:
    """Interpolate from a prior to a value, by the weight of the value."""
    return prior + (value - prior) * part


def route(it: api.KnownRoute, now_us: int, gap_us: int, usual_us: float) -> api.KnownRoute:
    """Return the decayed state of a route or destination that was last observed `gap_us` ago.

    `usual_us` is the baseline response time of its kind, 0 if unknown.
    """
    prior_us = usual_us or FIRST_GUESS_US
    answers = weight(gap_us, ANSWERS_US)
    learned, learned_us = limit(it, now_us, gap_us)
    paces = weight(gap_us, PACE_US)
    return replace(
        it,
        usual_us=int(towards(it.usual_us, prior_us, answers)) if answers >= LEAST else int(prior_us),
        pace=towards(it.pace, 1.0, paces),
        learned=learned,
        learned_us=learned_us,
    )


def limit(it: api.KnownRoute, now_us: int, gap_us: int) -> tuple[float, int]:
    """Return a decayed limit, and the time from which it may rise.

    A limit rises in each window without a refusal. While nothing was sent, no refusal was possible: a pause
    must count for less than such windows, or each restart would begin with more than was ever accepted.
    """
    grown = 1.0 / max(weight(gap_us, LIMIT_US), 1e-9)
    if it.learned == OPEN or grown > LIFT_MOST:
        return OPEN, 0
    return it.learned * grown, min(now_us, it.learned_us + gap_us)


def endpoint(it: api.KnownEndpoint, now_us: int, gap_us: int, usual_rate: float) -> api.KnownEndpoint:
    """Return an endpoint's decayed state: an outage lasts until it expires, a cold-start limit until warm."""
    rate = towards(it.failure_rate, usual_rate, weight(gap_us, FAILURES_US))
    if it.cold and (it.back_us is not None or now_us - it.failed_us < OUTAGE_US):
        return replace(it, failure_rate=max(rate, OUTAGE_RATE) if it.back_us is None else rate)
    if gap_us > FAILURES_US:
        return replace(
            it,
            cold=False,
            back_us=None,
            swallows=False,
            failure_rate=rate,
            failed_us=NEVER,
            since_us=NEVER,
            starts=(),
        )
    return replace(it, cold=False, back_us=None, failure_rate=rate, starts=())


def hour_weight(was: tuple[int, float] | None, week: int) -> float:
    """Return how regularly a destination is active in an hour of the week; decays by weeks without any."""
    if was is None:
        return 0.0
    return was[1] * weight((week - was[0]) * 7 * DAY, 2 * USUAL_US)
