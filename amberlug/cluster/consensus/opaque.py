"""What Raft stores and sends without looking into it: JSON values that others define.

The state machine defines commands, outcomes and states; the control plane defines the records of members.
Raft reads only what `membership.Member` names, and the key of configuration entries.
"""

from __future__ import annotations

from typing import Any, TypeAlias

Command: TypeAlias = dict[str, Any]  # input of the state machine; or a configuration entry: {"members": ...}
Outcome: TypeAlias = dict[str, Any]  # what the state machine returns for a command
MachineState: TypeAlias = dict[str, Any]  # the state machine in a snapshot
MemberRecords: TypeAlias = dict[str, Any]  # the records of all members, by name
Encodable: TypeAlias = dict[str, Any]  # any of these
