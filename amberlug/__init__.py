"""A message relay for delivery to partners, as a daemon and as a library."""
