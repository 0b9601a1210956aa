"""The relay as a daemon on its platform: configuration, discovery, notices, signals."""
