"""The relay core: messages, delivery attempts, final outcomes and the durable journal. No network I/O."""
