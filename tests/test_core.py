"""Test that the functional core imports no module for I/O or clocks."""

import ast
from pathlib import Path

import hawthornshelf

CORE_MODULES = ("node", "control", "entry", "raft", "membership", "state", "submission")
ALLOWED_IMPORTS = {
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


def find_imports(module: str) -> set[str]:
    names = set()
    for item in ast.walk(ast.parse((FOLDER / f"{module}.py").read_text())):
        if isinstance(item, ast.Import):
            names.update(alias.name for alias in item.names)
        elif isinstance(item, ast.ImportFrom):
            names.add(item.module or "")
    return names


def test_the_core_imports_no_io_module() -> None:
    visited: set[str] = set()
    pending = list(CORE_MODULES)
    while pending:
        module = pending.pop()
        if module in visited:
            continue
        visited.add(module)
        for name in find_imports(module):
            root, _, rest = name.partition(".")
            if root == "hawthornshelf":
                pending.append(rest)
            else:
                assert root in ALLOWED_IMPORTS, f"{module} imports {name}"
    assert "process" not in visited
    assert "storage" not in visited
