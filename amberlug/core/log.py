"""The relay's log: plain lines through `logging`, so that a host of the library decides where they go."""

import logging

LOGGER = logging.getLogger("amberlug")


def log(text: str) -> None:
    """Write a line to the relay's log."""
    LOGGER.info(text)
