"""What a member does in its term (Raft, section 5.1)."""

from __future__ import annotations

from enum import Enum


class Role(Enum):
    """The role of a member; a learner is a follower that does not vote."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
