"""Storage nodes: durable messages with group commit."""
