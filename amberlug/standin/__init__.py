"""Test doubles for clients, partners and the platform, and a checker that uses only their network traffic."""
