"""Edge nodes: submission by clients, forwarding to shard owners, delivery to endpoints.

A client's request goes through the modules in this order: `intake` checks it and makes a message of it,
`forwarding` submits the message to the owner of its shard, `delivery` (at that owner) keeps it until it has
ended, and `dispatchers` call the endpoints of its service. `repair` restores missing replicas meanwhile, and
`lookup` answers questions about the message. `node` puts the parts together.
"""
