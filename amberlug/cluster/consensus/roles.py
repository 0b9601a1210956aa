"""The roles of a member (Raft, section 5.1)."""

from __future__ import annotations

from enum import Enum


class Role(Enum):
    """The role of a member in its current term; a learner is a non-voting follower."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
