"""Assignment of shards to owners: as few moves as possible, and an even number for each owner."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence

SHARDS = 256  # messages are partitioned by key into so many; more than any deployment has edge nodes


def assign_shards(
    owners: Sequence[str], live: Sequence[str], count: int, retained: Collection[str] = ()
) -> Mapping[str, list[int]]:
    """Which shards to give to which owner.

    Each live owner gets an even number of all shards that are not retained, rounded down or up. A shard moves
    only from an owner that is not live, or that has more than its quota.

    :param owners: the current owner of each shard by number; empty for none.
    :param live: who may own shards.
    :param count: the number of shards.
    :param retained: owners whose shards stay where they are for now.
    :returns: numbers of the shards that move, by their new owner.
    """
    if not live:
        return {}
    names = sorted(live)
    owned: dict[str, list[int]] = {name: [] for name in names}
    unassigned: list[int] = []
    for number in range(count):
        owner = owners[number] if number < len(owners) else ""
        if owner in owned:
            owned[owner].append(number)
        elif owner not in retained:
            unassigned.append(number)
    total = len(unassigned) + sum(map(len, owned.values()))
    quotas = _quotas(owned, total)
    for name in names:
        while len(owned[name]) > quotas[name]:
            unassigned.append(owned[name].pop())
    return _fill(owned, quotas, unassigned)


def _quotas(owned: Mapping[str, Sequence[int]], total: int) -> dict[str, int]:
    """How many shards each owner is to have, those with the most shards first.

    Those with the most shards get the larger quotas, so that fewer shards move.
    """
    least, remainder = divmod(total, len(owned))
    by_size = sorted(owned, key=lambda name: (-len(owned[name]), name))
    return {name: least + (1 if rank < remainder else 0) for rank, name in enumerate(by_size)}


def _fill(
    owned: Mapping[str, Sequence[int]], quotas: Mapping[str, int], unassigned: Sequence[int]
) -> dict[str, list[int]]:
    """Give unassigned shards to the owners that have fewer than their quotas, in the quotas' order."""
    assigned: dict[str, list[int]] = {}
    position = 0
    for name, quota in quotas.items():
        missing = quota - len(owned[name])
        if missing > 0:
            assigned[name] = list(unassigned[position : position + missing])
            position += missing
    assert position == len(unassigned), "every shard has an owner"
    return assigned
