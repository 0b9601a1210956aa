"""A whole service in virtual time: core, module, journal and learning are real, the world is a model."""
