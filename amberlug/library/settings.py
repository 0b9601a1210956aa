"""Settings for a relay in a host, which has no platform to be told them by."""

from amberlug.core.usual import message_class, settings

__all__ = ["message_class", "settings"]
