"""Edge nodes: submission by clients, forwarding to shard owners, delivery to endpoints.

A client request passes through the modules in this order: `intake` validates it and creates a message,
`forwarding` submits the message to the owner of its shard, `delivery` (at that owner) keeps it until it has
ended, and `dispatchers` call the endpoints of its service. Meanwhile `repair` restores missing replicas, and
`lookup` answers queries about the message. `node` wires the components together.
"""
