"""HTTP front end of the nodes: server, routing table, declared API calls."""
