"""What Raft stores and sends without looking into it: JSON values that others define.

The state machine defines them; Raft itself makes only the commands of configuration entries, which
`membership.Members` writes and reads.
"""

from __future__ import annotations

from typing import Any, TypeAlias

Command: TypeAlias = dict[str, Any]  # input of the state machine; or of a configuration entry
Outcome: TypeAlias = dict[str, Any]  # what the state machine returns for a command
MachineState: TypeAlias = dict[str, Any]  # the state machine in a snapshot
