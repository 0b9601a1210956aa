"""News from relay to relay: passed on to a few, gaps mended by digests."""
