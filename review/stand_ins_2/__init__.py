"""Stand-ins of the second review: a small deployment of the project's programs, endpoints and clients."""
