"""Entry point of `python -m amberlug.cluster`, which runs a node of any kind."""

from __future__ import annotations

import gc
import sys

RUN_COMMAND = "run"
PROGRAM_NAME = "python -m amberlug.cluster"


def main(arguments: list[str]) -> None:
    """Run a command and exit with its exit code.

    `run` bypasses the command-line module: nodes start on a fraction of a core, and importing it would take
    a tenth of the startup time.

    :param arguments: the command-line arguments after the program name.
    """
    if arguments == [RUN_COMMAND]:
        gc.disable()  # imports create no garbage, and collecting takes a thirtieth of the startup time
        from amberlug.cluster.process import run_configured_node

        sys.exit(run_configured_node())
    from amberlug.cluster.cli import cli

    cli(arguments, prog_name=PROGRAM_NAME)


if __name__ == "__main__":
    main(sys.argv[1:])
