"""Check that the core does no I/O and reads no clock."""

import ast
from pathlib import Path

import hawthornshelf

CORE = ("node", "control", "entry", "raft", "membership", "state", "submission")
ALLOWED = {
    "__future__",
    "abc",
    "collections",
    "dataclasses",
    "datetime",
    "enum",
    "hashlib",
    "heapq",
    "itertools",
    "math",
    "msgspec",
    "random",
    "typing",
}
FOLDER = Path(hawthornshelf.__file__).parent


def imports_of(module: str) -> set[str]:
    names = set()
    for item in ast.walk(ast.parse((FOLDER / f"{module}.py").read_text())):
        if isinstance(item, ast.Import):
            names.update(alias.name for alias in item.names)
        elif isinstance(item, ast.ImportFrom):
            names.add(item.module or "")
    return names


def test_the_core_imports_nothing_that_does_io() -> None:
    seen: set[str] = set()
    waiting = list(CORE)
    while waiting:
        module = waiting.pop()
        if module in seen:
            continue
        seen.add(module)
        for name in imports_of(module):
            root, _, rest = name.partition(".")
            if root == "hawthornshelf":
                waiting.append(rest)
            else:
                assert root in ALLOWED, f"{module} imports {name}"
    assert "process" not in seen
    assert "storage" not in seen
