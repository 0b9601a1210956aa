"""Default settings, for use without a platform that provides them."""

from __future__ import annotations

from collections.abc import Sequence

from amberlug.policy.interface import Effect, Group, Kind, MessageClass, Settings

SECOND = 1_000_000


def message_class(
    name: str,
    effect: Effect,
    *,
    deadline: float,
    wanted: float | None = None,
    worth: float = 1.0,
    late_worth: float = 0.5,
    key_life: float = 0.0,
    keep_order: bool = False,
) -> MessageClass:
    """Describe a message class; times in seconds.

    A message is worth `worth` if delivered within `wanted`; its worth then falls to the fraction `late_worth`
    of that at the `deadline`. `key_life` is how long destinations remember the idempotency key of a keyed
    class. Raises `ValueError` for inconsistent arguments.
    """
    wanted = deadline if wanted is None else wanted
    if not 0 <= wanted <= deadline or deadline <= 0:
        raise ValueError(f"class {name!r}: wanted {wanted} s is not between 0 and the deadline {deadline} s")
    if effect is Effect.KEYED and key_life <= 0:
        raise ValueError(f"class {name!r}: a keyed class needs a positive key_life")
    if worth < 0 or not 0 <= late_worth <= 1:
        raise ValueError(f"class {name!r}: worth or late_worth is out of range")
    return MessageClass(
        name,
        effect,
        int(wanted * SECOND),
        int(deadline * SECOND),
        worth,
        late_worth,
        Group.ALL,
        int(key_life * SECOND),
        keep_order,
    )


def settings(
    classes: Sequence[MessageClass],
    *,
    kinds: Sequence[Kind] = (Kind("plain", 1, False),),
    relays: int = 1,
    slots: int = 64,
    max_open: int = 2000,
    most_attempts: int = 12,
    dial: float = 1.0,
    idle: float = 10.0,
    rates_listed: bool = True,
) -> Settings:
    """Create settings with default values.

    `slots` is the number of concurrent calls, `max_open` the maximum number of held messages, `relays` the
    number of relays that share the destinations, `dial` the connect timeout in seconds, and `idle` the
    seconds after which an endpoint may close an idle connection.
    """
    if not classes or min(relays, slots, max_open, most_attempts) < 1 or min(dial, idle) <= 0:
        raise ValueError("settings are out of range")
    return Settings(
        relays=relays,
        ordinal=0,
        zone="",
        classes={it.name: it for it in classes},
        tenants={},
        kinds={it.name: it for it in kinds},
        fees={},
        slots=slots,
        max_open=max_open,
        most_attempts=most_attempts,
        second_copies=False,
        may_cancel=True,
        may_probe=False,
        may_tell_peers=False,
        may_advise=True,
        max_advice_us=10 * SECOND,
        idle_us=int(idle * SECOND),
        dial_us=int(dial * SECOND),
        asks=False,
        rates_listed=rates_listed,
        rates_rough=False,
        halving=False,
        over_share_worth=1.0,
        refusal_cost=0.0,
        report_names=(),
        answer_slack_us=50_000,
        ask_within_us=1 << 62,
        drain_grace_us=2 * SECOND,
        cold_share=0.15,
        warm_us=12 * SECOND,
        overload_factor=2.5,
        overload_us=2 * SECOND,
        key_quiet_us=0,
        granularity_us=0,  # run a round in the loop's next iteration: waiting for one costs an extra wake-up
    )
