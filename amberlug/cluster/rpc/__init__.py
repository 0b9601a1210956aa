"""Remote procedure calls between nodes: framing, connections, messages."""
