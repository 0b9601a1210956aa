"""The library use shown in the README works as shown."""

import json
import re
from pathlib import Path

from tests.conftest import setup

README = Path(__file__).parents[1] / "README.md"


def test_the_library_use_runs() -> None:
    (code,) = re.findall(r"```python\n(.*?)```", README.read_text(encoding="utf-8"), re.DOTALL)
    assert code.count("assert") == 2
    exec(compile(code, "README.md", "exec"), {"SETUP": json.dumps(setup())})
