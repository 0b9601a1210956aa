"""Settings for a relay in a host, which has no platform to be told them by."""

from amberlug.core.default_settings import message_class, settings

__all__ = ["message_class", "settings"]
