"""Measurements, run by hand; see README.md here."""
