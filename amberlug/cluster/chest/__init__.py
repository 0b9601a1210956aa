"""A machine's state on disk, in sqlite3 files of its own."""
