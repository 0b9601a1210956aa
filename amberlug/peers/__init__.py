"""Links between the relays of a fleet: membership, framing and connections."""
