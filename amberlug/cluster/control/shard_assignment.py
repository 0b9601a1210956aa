"""Balanced assignment of shards to owners with as few moves as possible."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence

SHARD_COUNT = 256  # partitions of messages by key; more than any deployment has edge nodes


def assign_shards(
    owners: Sequence[str], live: Sequence[str], count: int, retained: Collection[str] = ()
) -> Mapping[str, list[int]]:
    """Compute which shards to assign to which owner.

    Each live owner gets an equal share of the shards that are not retained, rounded down or up. A shard moves
    only from an owner that is not live, or that has more than its quota.

    :param owners: the current owner of each shard by number; empty if it has none.
    :param live: the nodes that may own shards.
    :param count: the number of shards.
    :param retained: owners whose shards are not moved for now.
    :returns: numbers of the shards to move, by their new owner.
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
    return _assign_to_quotas(owned, quotas, unassigned)


def _quotas(owned: Mapping[str, Sequence[int]], total: int) -> dict[str, int]:
    """Return the number of shards that each owner is to have, in descending order of its current number.

    Owners with the most shards get the larger quotas, so that fewer shards move.
    """
    least, remainder = divmod(total, len(owned))
    by_size = sorted(owned, key=lambda name: (-len(owned[name]), name))
    return {name: least + (1 if rank < remainder else 0) for rank, name in enumerate(by_size)}


def _assign_to_quotas(
    owned: Mapping[str, Sequence[int]], quotas: Mapping[str, int], unassigned: Sequence[int]
) -> dict[str, list[int]]:
    """Assign the unassigned shards to owners below their quota, in the order of the quotas."""
    assigned: dict[str, list[int]] = {}
    position = 0
    for name, quota in quotas.items():
        missing = quota - len(owned[name])
        if missing > 0:
            assigned[name] = list(unassigned[position : position + missing])
            position += missing
    assert position == len(unassigned), "not every shard was assigned"
    return assigned
