"""`python -m amberlug.cluster`: the program of every machine."""

from __future__ import annotations

import gc
import sys

RUN_COMMAND = "run"
PROGRAM_NAME = "python -m amberlug.cluster"


def main(arguments: list[str]) -> None:
    """Run a command, and end the process with its exit code.

    A node, which starts on a fraction of a core, does not import the command line: it would cost a tenth of
    the start.

    :param arguments: behind the program's name.
    """
    if arguments == [RUN_COMMAND]:
        gc.disable()  # imports leave no garbage, and looking for it takes a thirtieth of the start
        from amberlug.cluster.process import run_configured_node

        sys.exit(run_configured_node())
    from amberlug.cluster.cli import cli

    cli(arguments, prog_name=PROGRAM_NAME)


if __name__ == "__main__":
    main(sys.argv[1:])
