"""Settings for an embedded relay, which has no platform that configures it."""

from amberlug.core.default_settings import message_class, settings

__all__ = ["message_class", "settings"]
