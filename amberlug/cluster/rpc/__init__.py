"""RPC between nodes: framing, connections and messages."""
