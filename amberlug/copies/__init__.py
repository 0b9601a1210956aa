"""Replication of accepted messages between relays, so that none is lost with a machine and its disk."""
