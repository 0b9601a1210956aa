"""Choice of holders: rendezvous hashing over the members, spread over machines and zones. No I/O."""

from __future__ import annotations

from collections.abc import Collection, Sequence

from xxhash import xxh64_intdigest

from amberlug.peers.fleet import HOLDERS_PER_COPY, Member


def ranked(key: str, names: Collection[str]) -> list[str]:
    """The names in a key's rendezvous order, the same at every relay."""
    return sorted(names, key=lambda name: (-xxh64_intdigest(f"{key}\\0{name}".encode()), name))


def ensemble(
    key: str,
    own: Member,
    members: Sequence[Member],
    present: Collection[str],
    known: Collection[str],
    copies: int,
) -> list[str]:
    """The relays that may hold a log, each on its own machine; empty if there are too few.

    Chooses `HOLDERS_PER_COPY * copies` of them: relays in `present` before those only in `known`, then zones
    in turn, `own`'s zone last.
    """
    candidates = {
        member.name: member for member in members if member.machine != own.machine and member.name in known
    }
    chosen: list[Member] = []
    remaining = [candidates[name] for name in ranked(key, candidates)]
    while remaining and len(chosen) < HOLDERS_PER_COPY * copies:
        zones = [member.zone for member in chosen]
        # Take the least used zone; the origin's own zone counts as used once more.
        best = min(
            remaining,
            key=lambda member: (
                member.name not in present,
                zones.count(member.zone) + (member.zone == own.zone),
                remaining.index(member),
            ),
        )
        chosen.append(best)
        remaining = [member for member in remaining if member.machine != best.machine]
    return [member.name for member in chosen] if len(chosen) == HOLDERS_PER_COPY * copies else []
