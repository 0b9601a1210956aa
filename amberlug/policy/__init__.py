"""Decisions of a delivery service for messages to other firms' systems."""
