"""HTTP/1.1 on both sides of the relay: clients that hand in, endpoints that are called."""
