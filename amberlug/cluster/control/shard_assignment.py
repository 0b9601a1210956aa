"""Which relay owns which shards: as few moves as will do, and an even part for each."""

from __future__ import annotations

from collections.abc import Mapping, Sequence


def assign_shards(
    owners: Sequence[str], live: Sequence[str], count: int, keep: Sequence[str] = ()
) -> Mapping[str, list[int]]:
    """What to give to whom.

    `owners` holds each shard's owner now ("" for none), `live` who may own any, `keep` whose shards stay
    where they are for now. Each live one gets an even part of the rest, rounded down or up; a shard moves
    only from one who may not own it or has more than its part.
    """
    if not live:
        return {}
    names = sorted(live)
    held: dict[str, list[int]] = {name: [] for name in names}
    loose = []
    for number in range(count):
        owner = owners[number] if number < len(owners) else ""
        if owner in held:
            held[owner].append(number)
        elif owner not in keep:
            loose.append(number)
    least, more = divmod(len(loose) + sum(map(len, held.values())), len(names))
    # Those with most keep the larger parts, so that fewer move.
    by_size = sorted(names, key=lambda name: (-len(held[name]), name))
    part = {name: least + (1 if at < more else 0) for at, name in enumerate(by_size)}
    for name in names:
        while len(held[name]) > part[name]:
            loose.append(held[name].pop())
    given: dict[str, list[int]] = {}
    at = 0
    for name in by_size:
        want = part[name] - len(held[name])
        if want > 0:
            given[name] = loose[at : at + want]
            at += want
    assert at == len(loose), "every shard has an owner"
    return given
