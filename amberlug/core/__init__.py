"""The relay itself: messages, attempts, their ends and the durable log; it knows no sockets."""
