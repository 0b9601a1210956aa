"""`python -m amberlug`: the command line."""

import sys

from amberlug.cli.main import main

sys.exit(main())
