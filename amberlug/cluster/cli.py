"""The command line of `python -m amberlug.cluster`."""

from __future__ import annotations

import importlib
import sys
from typing import ClassVar

import click


class LazyGroup(click.Group):
    """Imports the module of a command only when that command is looked up."""

    COMMANDS_ELSEWHERE: ClassVar = {
        "admin": "amberlug.cluster.admin.commands:admin",
        "soak": "amberlug.cluster.local_deployment.commands:soak",
        "stand-in": "amberlug.cluster.local_deployment.commands:stand_in",
        "try": "amberlug.cluster.local_deployment.commands:trial",
    }

    def list_commands(self, ctx: click.Context) -> list[str]:
        """List the names of all commands."""
        return sorted([*super().list_commands(ctx), *self.COMMANDS_ELSEWHERE])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command by name, importing its module if necessary."""
        if cmd_name not in self.COMMANDS_ELSEWHERE:
            return super().get_command(ctx, cmd_name)
        module, _, name = self.COMMANDS_ELSEWHERE[cmd_name].partition(":")
        command: click.Command = getattr(importlib.import_module(module), name)
        return command


@click.group(cls=LazyGroup)
def cli() -> None:
    """The ingest and dispatch service."""


@cli.command()
def run() -> None:
    """Run the node that the settings file describes."""
    from amberlug.cluster.process import run_configured_node

    sys.exit(run_configured_node())
