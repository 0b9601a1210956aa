"""A fleet that asks discovery at once."""

import heapq
import random

from amberlug.platform.pauses import MOST, Pauses

PER_CALL = 0.15  # seconds that discovery needs for a call: forty take six
PATIENCE = 2.0  # seconds after which nobody waits for an answer any more; its work is done all the same


def ask(relays: int, seed: int) -> tuple[list[float], int]:
    """When each relay has its list, of a fleet whose watches all ended at 0; and all its calls."""
    chance = random.Random(seed).random
    pauses = [Pauses(relays, chance) for _ in range(relays)]
    due = [(it.after(True), number) for number, it in enumerate(pauses)]
    heapq.heapify(due)
    had, calls, free = [], 0, 0.0
    while due and calls < 100 * relays:
        at, number = heapq.heappop(due)
        calls, start = calls + 1, max(free, at)
        if start - at > 2 * PATIENCE:
            heapq.heappush(due, (at + pauses[number].after(False), number))  # turned away
            continue
        free = start + PER_CALL
        if free <= at + PATIENCE:
            had.append(free)
        else:
            heapq.heappush(due, (at + PATIENCE + pauses[number].after(False), number))
    return had, calls


def test_forty_relays_that_lose_their_watch_at_once_all_have_it_again_soon() -> None:
    for seed in range(20):
        had, calls = ask(40, seed)
        assert len(had) == 40
        assert calls <= 4 * 40
        assert max(had) < 45
        assert sorted(had)[20] < 15


def test_a_few_relays_have_their_list_as_soon_as_ever() -> None:
    for seed in range(20):
        had, calls = ask(3, seed)
        assert max(had) < 1.0
        assert calls == 3
    lone = Pauses(1, lambda: 1.0)
    assert [round(lone.after(heard), 3) for heard in (True, False, False, True)] == [0.1, 0.2, 0.4, 0.1]
    assert lone.start() == 0.0
    assert max(lone.after(False) for _ in range(50)) <= MOST


def test_two_relays_started_alike_draw_apart() -> None:
    starts = {Pauses(40).start() for _ in range(40)}
    assert len(starts) == 40
    assert 0 <= min(starts) < max(starts) <= 2.0
