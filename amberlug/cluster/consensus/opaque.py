"""JSON values that Raft stores and sends without interpreting them.

The state machine defines them. Raft itself creates only the commands of configuration entries, which
`membership.Members` encodes and decodes.
"""

from __future__ import annotations

from typing import Any, TypeAlias

Command: TypeAlias = dict[str, Any]  # a state machine command, or the content of a configuration entry
Outcome: TypeAlias = dict[str, Any]  # the result that the state machine returns for a command
MachineState: TypeAlias = dict[str, Any]  # the state of the state machine in a snapshot
