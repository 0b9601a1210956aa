"""The hatch: where clients, readiness probes and control calls come in."""
