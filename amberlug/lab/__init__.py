"""Simulates a whole service in virtual time: the relay code is real, everything around it is a model."""
