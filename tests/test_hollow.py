"""The hollow machines of the benchmarks: that they do what real ones do, and that growth is read rightly."""

import math

import pytest

from benchmarks.hollow import plays, steps
from benchmarks.hollow.deployment import Play
from benchmarks.hollow.figures import one_more, power, table


def test_a_hollow_deployment_leads_deals_and_configures_as_a_real_one() -> None:
    play = Play(6)
    play.run(plays.SETTLE_S)
    play.configure(20_000)
    play.run(0.1)
    assert play.in_force() == 6
    owned = {name for name, _, _ in play.cores[0].machine.cluster_state.shards}
    assert {it.rpartition("/")[0] for it in owned} == {it.name for it in play.edges}
    assert all(it.machine.ready for it in play.edges)


def test_benches_give_their_figures_at_small_sizes() -> None:
    figures = [
        *plays.standing(30),
        *plays.messages(30),
        *plays.restarts(30),
        *steps.owner(30),
        *steps.fence(30),
    ]
    found = {(it.bench, it.role, it.name): it.value for it in figures}
    assert found["messages", "edge", "part taken"] == 1.0
    assert found["messages", "store", "messages a message, all machines of the role"] == pytest.approx(
        2, 0.01
    )
    assert found["restart of 1", "core", "shards moved"] >= 256 // 30
    assert found["store", "store", "fence's answer fits a frame"] == 1.0
    assert len(list(table(figures))) == 2 + len(found)


def test_growth_is_the_power_that_fits_and_the_price_of_one_more() -> None:
    square = [(x, 3 * x**2) for x in (10.0, 100.0, 1000.0)]
    assert power(square) == pytest.approx(2)
    assert one_more(square) == pytest.approx((3e6 - 3e4) / 900)
    assert math.isnan(power([(10.0, 0.0), (100.0, 1.0)]))
