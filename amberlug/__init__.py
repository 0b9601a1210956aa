"""A message relay for partner delivery: a daemon, and the same relay as a library."""
