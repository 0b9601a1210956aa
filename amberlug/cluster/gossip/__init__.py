"""Gossip of versioned announcements among all nodes, with anti-entropy repair."""
