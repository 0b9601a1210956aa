"""`python -m amberlug`: the command line."""

from amberlug.cli.main import run

run()
