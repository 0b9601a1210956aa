"""Hollow machines: many in one process, to measure how load grows."""
