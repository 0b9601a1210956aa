"""Stand-ins for what surrounds the system, and a whole small deployment among them on loopback."""
