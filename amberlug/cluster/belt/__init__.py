"""Between the system's own processes: netstrings of JSON over TCP."""
