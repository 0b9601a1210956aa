"""Entry point of `python -m amberlug`."""

from amberlug.cli.main import run

run()
