"""`admin check`: checks the settings file and the deploy file of a deployment."""

from __future__ import annotations

from pathlib import Path
from typing import NoReturn

import click

from amberlug.cluster.admin.files import check_deploy, check_settings
from amberlug.cluster.admin.options import FILE_PATH_TYPE, ExitCode, finish, json_option


@click.group("check")
def check_files() -> None:
    """Check the settings file and the deploy file of a deployment."""


def _finish_check(path: Path, errors: list[str], as_json: bool) -> NoReturn:
    code = ExitCode.BAD_INPUT if errors else ExitCode.DONE
    finish(code, errors or [f"{path} is well formed"], {"errors": errors}, as_json)


@check_files.command("settings")
@click.argument("path", metavar="FILE", type=FILE_PATH_TYPE)
@json_option
def settings_file(path: Path, as_json: bool) -> None:
    """Show all errors of a settings file."""
    _finish_check(path, check_settings(path), as_json)


@check_files.command("deploy")
@click.argument("path", metavar="FILE", type=FILE_PATH_TYPE)
@json_option
def deploy_file(path: Path, as_json: bool) -> None:
    """Show all errors of a deploy file."""
    _finish_check(path, check_deploy(path), as_json)
