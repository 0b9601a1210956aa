"""Decay of learned data over time: a half-life and a rule for each kind of value. No I/O.

The half-lives were chosen by the prediction error after pauses (`benchmarks/learning.py`; results are in
`docs/measurements/learning.md`). A wait that an endpoint requested does not decay: it is honored to its end.
"""

from __future__ import annotations

from dataclasses import replace

from amberlug.policy import interface as api
from amberlug.policy.account import INITIAL_ANSWER_US, SECOND, UNLIMITED
from amberlug.policy.state import NEVER

MINUTE = 60 * SECOND
HOUR = 60 * MINUTE
DAY = 24 * HOUR

FAILURE_RATE_HALF_LIFE_US = 15 * SECOND  # failure rate of an endpoint, towards the baseline of its kind
# An outage whose end was not observed is assumed to last until this long after its last failure.
OUTAGE_MAX_US = 30 * MINUTE
# A learned limit doubles in this time, and is dropped beyond LIMIT_MAX_GROWTH; the listed rate applies where
# it is stricter.
LIMIT_DOUBLING_TIME_US = 30 * MINUTE
RESPONSE_TIME_HALF_LIFE_US = 7 * DAY  # response times, towards the baseline of the kind
THROUGHPUT_HALF_LIFE_US = 30 * MINUTE  # this relay's own completed calls per second, towards 1
# Response-time and reuse counts; activity by hour of the week has twice this. Also used for the weight that
# is shown for baselines of kinds and tenants; the stored baselines never decay.
BASELINE_HALF_LIFE_US = 7 * DAY
RETENTION_US = 60 * DAY  # records not updated for so long are deleted
MIN_WEIGHT = 0.05  # weight below which response times and reuse counts are ignored
LIMIT_MAX_GROWTH = 16.0  # a limit that has grown by more than this factor is dropped
OUTAGE_MIN_FAILURE_RATE = 0.5  # lowest failure rate assumed of an endpoint in an outage


def weight(age_us: int, half_life_us: int) -> float:
    """Return the weight of a value of that age, from 1 down to 0."""
    return float(0.5 ** (max(0, age_us) / half_life_us)) if age_us < 64 * half_life_us else 0.0


def interpolate(value: float, prior: float, weight_of_value: float) -> float:
    """Interpolate from a prior to a value, by the weight of the value."""
    return prior + (value - prior) * weight_of_value


def decayed_route(route: api.KnownRoute, now_us: int, gap_us: int, baseline_us: float) -> api.KnownRoute:
    """Return the decayed state of a route or destination that was last observed `gap_us` ago.

    `baseline_us` is the baseline response time of its kind, 0 if unknown.
    """
    prior_us = baseline_us or INITIAL_ANSWER_US
    response_weight = weight(gap_us, RESPONSE_TIME_HALF_LIFE_US)
    learned, learned_us = decayed_limit(route, now_us, gap_us)
    throughput_weight = weight(gap_us, THROUGHPUT_HALF_LIFE_US)
    return replace(
        route,
        usual_us=int(interpolate(route.usual_us, prior_us, response_weight))
        if response_weight >= MIN_WEIGHT
        else int(prior_us),
        throughput=interpolate(route.throughput, 1.0, throughput_weight),
        learned=learned,
        learned_us=learned_us,
    )


def decayed_limit(route: api.KnownRoute, now_us: int, gap_us: int) -> tuple[float, int]:
    """Return a decayed limit, and the time from which windows without a refusal count.

    A limit rises in each window without a refusal. While nothing was sent, no refusal was possible: a pause
    must raise the limit by less than as many windows without a refusal, or each restart would begin with more
    than was ever accepted.
    """
    growth = 1.0 / max(weight(gap_us, LIMIT_DOUBLING_TIME_US), 1e-9)
    if route.learned == UNLIMITED or growth > LIMIT_MAX_GROWTH:
        return UNLIMITED, 0
    return route.learned * growth, min(now_us, route.learned_us + gap_us)


def decayed_endpoint(
    endpoint: api.KnownEndpoint, now_us: int, gap_us: int, baseline_rate: float
) -> api.KnownEndpoint:
    """Return an endpoint's decayed state.

    An outage is kept until `OUTAGE_MAX_US` after its last failure. After a recovery the cold state is kept,
    whatever the gap, since the cold-start limit lasts until the endpoint is warm. Otherwise the endpoint is
    no longer cold, and after a gap longer than the half-life of the failure rate, its failure history is
    cleared.
    """
    rate = interpolate(endpoint.failure_rate, baseline_rate, weight(gap_us, FAILURE_RATE_HALF_LIFE_US))
    if endpoint.cold and (
        endpoint.recovered_us is not None or now_us - endpoint.last_failure_us < OUTAGE_MAX_US
    ):
        return replace(
            endpoint,
            failure_rate=max(rate, OUTAGE_MIN_FAILURE_RATE) if endpoint.recovered_us is None else rate,
        )
    if gap_us > FAILURE_RATE_HALF_LIFE_US:
        return replace(
            endpoint,
            cold=False,
            recovered_us=None,
            may_have_run=False,
            failure_rate=rate,
            last_failure_us=NEVER,
            outage_since_us=NEVER,
            starts=(),
        )
    return replace(endpoint, cold=False, recovered_us=None, failure_rate=rate, starts=())


def hour_weight(last_active: tuple[int, float] | None, week: int) -> float:
    """Return how regularly a destination is active in an hour of the week; decays by weeks without activity.

    :param last_active: the week of the last activity, and the weight then.
    """
    if last_active is None:
        return 0.0
    return last_active[1] * weight((week - last_active[0]) * 7 * DAY, 2 * BASELINE_HALF_LIFE_US)
