"""The command line: serve, check, try."""
