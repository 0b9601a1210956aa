"""The relay as a daemon: configuration, service discovery, outcome notices and signal handling."""
