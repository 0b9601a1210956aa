"""The relay's log, written through `logging` so that the host application decides where it goes."""

import logging

LOGGER = logging.getLogger("amberlug")


def log(text: str) -> None:
    """Write one line to the relay's log."""
    LOGGER.info(text)
