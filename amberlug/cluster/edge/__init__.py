"""Edge nodes: submission by clients, forwarding, dispatch to endpoints."""
