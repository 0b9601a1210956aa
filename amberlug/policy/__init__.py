"""Delivery policy of the relay: when, where and whether each message is sent to a partner's system."""
