"""A small local deployment: processes on loopback addresses, with fake endpoints."""
