"""Consensus among the control-plane nodes by Raft: log replication, elections, snapshots, voter selection."""
