"""`python -m workshop`: the program of every machine."""

from __future__ import annotations

import os
import sys

import click

from workshop.settings import DEFAULT, VARIABLE


@click.group()
def cli() -> None:
    """The ingest and dispatch service."""


@cli.command()
def run() -> None:
    """Serve as the settings file says."""
    from workshop.program import main

    sys.exit(main(os.environ.get(VARIABLE, DEFAULT)))


if __name__ == "__main__":
    cli(prog_name="workshop")
