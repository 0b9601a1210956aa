"""HTTP/1.1 on both sides of the relay: submissions by clients and calls to endpoints."""
