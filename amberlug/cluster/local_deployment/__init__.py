"""A small deployment with fake endpoints as processes on loopback."""
