"""`python -m amberlug.cluster`: the program of every machine."""

from __future__ import annotations

import importlib
import os
import sys
from typing import ClassVar

import click

from amberlug.cluster.settings import DEFAULT_SETTINGS_FILE, SETTINGS_FILE_VARIABLE


class Lazy(click.Group):
    """Imports a command's module only once it is asked for, so that `run` starts without them."""

    LATER: ClassVar = {
        "admin": "amberlug.cluster.admin.commands:admin",
        "stand-in": "amberlug.cluster.local_deployment.commands:stand_in",
        "try": "amberlug.cluster.local_deployment.commands:trial",
    }

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Name all commands."""
        return sorted([*super().list_commands(ctx), *self.LATER])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Give one command."""
        if cmd_name not in self.LATER:
            return super().get_command(ctx, cmd_name)
        module, _, name = self.LATER[cmd_name].partition(":")
        command: click.Command = getattr(importlib.import_module(module), name)
        return command


@click.group(cls=Lazy)
def cli() -> None:
    """The ingest and dispatch service."""


@cli.command()
def run() -> None:
    """Serve as the settings file says."""
    from amberlug.cluster.process import main

    sys.exit(main(os.environ.get(SETTINGS_FILE_VARIABLE, DEFAULT_SETTINGS_FILE)))


if __name__ == "__main__":
    cli(prog_name="python -m amberlug.cluster")
