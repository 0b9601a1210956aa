"""Dispatch of messages: shard ownership, replication, delivery queues, endpoint pools."""
