"""Deterministic simulation of whole deployments in virtual time."""
