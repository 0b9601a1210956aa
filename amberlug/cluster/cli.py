"""The command line of `python -m amberlug.cluster`."""

from __future__ import annotations

import importlib
import sys
from typing import ClassVar

import click


class LazyGroup(click.Group):
    """Imports the module of a command only once the command is asked for."""

    COMMANDS_ELSEWHERE: ClassVar = {
        "admin": "amberlug.cluster.admin.commands:admin",
        "soak": "amberlug.cluster.local_deployment.commands:soak",
        "stand-in": "amberlug.cluster.local_deployment.commands:stand_in",
        "try": "amberlug.cluster.local_deployment.commands:trial",
    }

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Name all commands."""
        return sorted([*super().list_commands(ctx), *self.COMMANDS_ELSEWHERE])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Give one command."""
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
    """Serve as the settings file says."""
    from amberlug.cluster.process import run_configured_node

    sys.exit(run_configured_node())
