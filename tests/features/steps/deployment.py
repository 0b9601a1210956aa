# mypy: allow-untyped-decorators
"""Steps that play a simulated day: what is to happen is arranged, then the day is played once."""

from typing import Any

from behave import given, then, when  # type: ignore[import-untyped]

from amberlug.cluster.simulation.scenarios import Scenario

AT_S = 6.0  # when it happens: traffic has begun


@given("a deployment with traffic")
def deployment(context: Any) -> None:
    context.day = Scenario(3, "quiet")


@when("a store loses its disk as it acknowledges a message")
def lose_disk(context: Any) -> None:
    day = context.day
    store = day.deployment.stores[0]

    def strike() -> None:
        day.storage_faults.after_put(store, lambda: day.storage_faults.lose_disk(store, 1.0))

    day.clock.call_later(AT_S, strike)
    context.broken = day.play()


@when("an edge loses power while it has a message of a key out")
def lose_power(context: Any) -> None:
    day = context.day

    def strike() -> None:
        out = [
            edge
            for edge in day.deployment.edges
            if edge.up
            and any(it.sequence_key and it.in_flight for it in edge.part.delivery_queue.messages.values())
        ]
        if not out:
            day.clock.call_later(0.01, strike)
            return
        day.history.record_disturbance(f"{out[0].name} loses power", 1.0)
        out[0].power_off()
        day.clock.call_later(1.0, out[0].start)

    day.clock.call_later(AT_S, strike)
    context.broken = day.play()


@when("two operators change the configuration at once")
def race(context: Any) -> None:
    day = context.day

    def both() -> None:
        context.before = len(day.history.versions)
        day.operator.race()

    day.clock.call_later(AT_S, both)
    context.broken = day.play()


@when("the leader is killed as a drain is acknowledged")
def drain(context: Any) -> None:
    day = context.day

    def strike(core: Any) -> None:
        day.deployment.endpoint_fleet.on_drained = lambda it: None
        day.kill_one(day.leader())

    day.deployment.endpoint_fleet.on_drained = strike
    day.clock.call_later(AT_S, day.replace_endpoint)
    context.broken = day.play()


@when("a store is ordered to be emptied")
def retire(context: Any) -> None:
    day = context.day
    context.store = day.deployment.stores[0]
    day.clock.call_later(AT_S, lambda: day.storage_faults.empty(context.store))
    context.broken = day.play()


@then("no rule is broken")
def no_rule(context: Any) -> None:
    assert context.broken == [], context.broken


@then("all that was accepted has ended")
def all_ended(context: Any) -> None:
    day = context.day
    ended = day.storage_faults.done()
    accepted = [it for it in day.history.sent.values() if it.status == 202 and not it.target.startswith("/x")]
    assert accepted, "nothing was accepted"
    assert not [it.name for it in accepted if it.attempt not in ended], "something is still open"


@then("one of the two changes is acknowledged")
def one_prevails(context: Any) -> None:
    pair = context.day.history.versions[context.before : context.before + 2]
    assert sorted(it.status for it in pair) == [200, 412], [it.status for it in pair]


@then("it is taken away")
def taken_away(context: Any) -> None:
    assert context.store not in context.day.deployment.stores
