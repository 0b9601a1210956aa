"""The operators' command-line client of a deployment."""
