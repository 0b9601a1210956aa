"""A whole deployment of the service in virtual time, drawn from a seed and checked against the rules."""
