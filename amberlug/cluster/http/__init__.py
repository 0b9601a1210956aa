"""The nodes' HTTP front end: server, routing table, declared API calls."""
