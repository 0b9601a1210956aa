"""The parts of each kind of machine, put together. No I/O: see `amberlug.cluster.process`."""
