"""What an empty disk of a control-plane node starts with."""

from __future__ import annotations

from collections.abc import Callable

from amberlug.cluster.consensus.log import PersistentState
from amberlug.cluster.interfaces import Json
from amberlug.cluster.session_client import seed_addresses
from amberlug.cluster.settings import Settings

FOUNDING_INCARNATION = "0"
INCARNATION_BITS = 48


def founding_members(settings: Settings) -> Json:
    """The members that found the cluster: the seeds of the first start, each in its founding incarnation."""
    unknown = {"voter": True, "name": "", "zone": "", "region": ""}
    return {
        f"{host}/{FOUNDING_INCARNATION}": {**unknown, "addr": address, "control": f"{host}:{port}"}
        for (host, port), address in zip(settings.seeds, seed_addresses(settings), strict=True)
    }


def blank(settings: Settings, random_bits: Callable[[int], int]) -> PersistentState:
    """The state of an empty disk: a founder's at the first start, else that of a node that is to be admitted.

    :param random_bits: returns a random integer of so many bits, which names the incarnation.
    """
    members = founding_members(settings) if settings.first_start else {}
    member_id = f"{settings.ip}/{FOUNDING_INCARNATION}"
    if member_id not in members:
        member_id = f"{settings.ip}/{random_bits(INCARNATION_BITS):x}"
    return PersistentState(member_id, members=members)
