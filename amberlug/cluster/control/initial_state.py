"""Initial persistent state of a control-plane node with an empty disk."""

from __future__ import annotations

from collections.abc import Callable

from amberlug.cluster.consensus.membership import Member, Members, new_member_id
from amberlug.cluster.consensus.persistent_state import PersistentState
from amberlug.cluster.session_client import seed_addresses
from amberlug.cluster.settings import Settings

FOUNDING_INCARNATION = "0"


def founding_members(settings: Settings) -> Members:
    """Return the founding members: the seeds of the first start, each in its founding incarnation."""
    seeds = zip(settings.seeds, seed_addresses(settings), strict=True)
    return Members(
        {
            f"{host}/{FOUNDING_INCARNATION}": Member.founder(address, f"{host}:{port}")
            for (host, port), address in seeds
        }
    )


def blank(settings: Settings, random_bits: Callable[[int], int]) -> PersistentState:
    """Return the state of an empty disk: a founder's at the first start, else that of a node yet to join.

    :param random_bits: returns a random integer of the given number of bits, to identify the incarnation.
    """
    members = founding_members(settings) if settings.first_start else Members()
    member_id = f"{settings.ip}/{FOUNDING_INCARNATION}"
    if member_id not in members:
        member_id = new_member_id(settings.ip, random_bits)
    return PersistentState(member_id, members=members)
