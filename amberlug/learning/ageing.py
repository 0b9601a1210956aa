"""How what was learned weighs less with time: a half-life and a rule for each sort of fact. No I/O.

The half-lives were chosen by the error of prediction after pauses (`benchmarks/learning.py`, what was weighed
stands in `docs/measurements/learning.md`). A told wait does not age: it is heeded to its end.
"""

from __future__ import annotations

from dataclasses import replace

from amberlug.policy import interface as api
from amberlug.policy.account import INITIAL_ANSWER_US, SECOND, UNLIMITED
from amberlug.policy.state import NEVER

MINUTE = 60 * SECOND
HOUR = 60 * MINUTE
DAY = 24 * HOUR

FAILURES_US = 15 * SECOND  # failure rate of an endpoint, down to what is usual for its kind
OUTAGE_US = 30 * MINUTE  # an outage that nobody saw end: later it is no longer presumed to go on
LIMIT_US = 30 * MINUTE  # a learned limit: it grows twofold each, until it says less than the list
ANSWERS_US = 7 * DAY  # answer times, towards what is usual for the kind
PACE_US = 30 * MINUTE  # own calls done a second
USUAL_US = 7 * DAY  # what is usual of a kind, a tenant or an hour of the week
FORGET_US = 60 * DAY  # a destination of which nothing was learned for so long is forgotten
LEAST = 0.05  # weight below which a fact counts as forgotten
LIFT_MOST = 16.0  # a limit that has grown so many times is none any more
OUTAGE_RATE = 0.5  # failure rate from which an endpoint is presumed to be in an outage


def weight(age_us: int, half_us: int) -> float:
    """What a fact of that age still weighs, from 1 down to 0."""
    return float(0.5 ** (max(0, age_us) / half_us)) if age_us < 64 * half_us else 0.0


def towards(value: float, prior: float, part: float) -> float:
    """A fact of that weight, beside its prior."""
    return prior + (value - prior) * part


def route(it: api.KnownRoute, now_us: int, gap_us: int, usual_us: float) -> api.KnownRoute:
    """What to believe of a route or destination that was last learned of `gap_us` ago.

    `usual_us` is the answer time that is usual for its kind, 0 where that is not known.
    """
    prior_us = usual_us or INITIAL_ANSWER_US
    answers = weight(gap_us, ANSWERS_US)
    learned, learned_us = limit(it, now_us, gap_us)
    paces = weight(gap_us, PACE_US)
    return replace(
        it,
        usual_us=int(towards(it.usual_us, prior_us, answers)) if answers >= LEAST else int(prior_us),
        throughput=towards(it.throughput, 1.0, paces),
        learned=learned,
        learned_us=learned_us,
    )


def limit(it: api.KnownRoute, now_us: int, gap_us: int) -> tuple[float, int]:
    """A learned limit, and from when on it may rise.

    A limit rises in each window without a refusal. While nobody called there was none to be had: the pause
    counts for less than windows do, or each restart would begin with more than was ever taken.
    """
    grown = 1.0 / max(weight(gap_us, LIMIT_US), 1e-9)
    if it.learned == UNLIMITED or grown > LIFT_MOST:
        return UNLIMITED, 0
    return it.learned * grown, min(now_us, it.learned_us + gap_us)


def endpoint(it: api.KnownEndpoint, now_us: int, gap_us: int, usual_rate: float) -> api.KnownEndpoint:
    """What to believe of an endpoint: an outage goes on until it would be old, its cold bound until warm."""
    rate = towards(it.failure_rate, usual_rate, weight(gap_us, FAILURES_US))
    if it.cold and (it.recovered_us is not None or now_us - it.last_failure_us < OUTAGE_US):
        return replace(it, failure_rate=max(rate, OUTAGE_RATE) if it.recovered_us is None else rate)
    if gap_us > FAILURES_US:
        return replace(
            it,
            cold=False,
            recovered_us=None,
            may_have_run=False,
            failure_rate=rate,
            last_failure_us=NEVER,
            outage_since_us=NEVER,
            starts=(),
        )
    return replace(it, cold=False, recovered_us=None, failure_rate=rate, starts=())


def hour_weight(was: tuple[int, float] | None, week: int) -> float:
    """How usual it is that a destination is awake in an hour of the week, after weeks without."""
    if was is None:
        return 0.0
    return was[1] * weight((week - was[0]) * 7 * DAY, 2 * USUAL_US)
