"""Raft consensus among the control-plane nodes: log replication, elections, snapshots, voter selection."""
