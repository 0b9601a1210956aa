"""A zone's cell: its endpoints and relays, and the calls of endpoints and operators."""
