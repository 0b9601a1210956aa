"""The control plane: service registry, configuration, membership, sessions and the operators' API."""
