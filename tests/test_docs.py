"""Check that the names which the pages give in code type exist in the sources."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PAGES = [*sorted(ROOT.glob("docs/*.md")), ROOT / "README.md", ROOT / "CONTRIBUTING.md"]
FOLDERS = (
    "deploy",
    "docs",
    "examples",
    "hawthornshelf",
    "platform",
    "scripts",
    "tests",
)
FILES = [path for folder in FOLDERS for path in sorted((ROOT / folder).rglob("*.*"))]
# The platform's words and the names of policy variants, which are not in the sources.
FOREIGN_WORDS = {"Fence", "Instance", "greedy", "readyz", "threshold"}

CODE = re.compile(r"`([^`\n]+)`")
FILE_NAME = re.compile(r"[\w./-]+\.(feature|md|py|sh|toml|txt)")
TEST_PREFIX = re.compile(r"(\w+)…")
DOTTED_NAME = re.compile(r"[A-Za-z_]\w*(\.[A-Za-z_]\w*)+")
NAME = re.compile(r"[A-Za-z_]\w*")


def read_names(path: Path) -> set[str]:
    """Return the names and the strings without spaces in a source file."""
    names = {path.stem}
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.FunctionDef(name=name) | ast.AsyncFunctionDef(name=name):
                names |= {name, name.removeprefix("test_")}
            case ast.ClassDef(name=name) | ast.Name(id=name) | ast.alias(name=name):
                names.add(name)
            case ast.Attribute(attr=name) | ast.arg(arg=name):
                names.add(name)
            case ast.keyword(arg=str(name)):
                names.add(name)
            case ast.Constant(value=str(text)) if not re.search(r"\s", text):
                names.update(re.split(r"[.=]", text))
    return names


SOURCES = [path for path in FILES if path.suffix == ".py" and path != Path(__file__)]
NAMES = {path: read_names(path) for path in SOURCES}
ALL_NAMES = set().union(*NAMES.values())


def has_file(name: str) -> bool:
    """Return whether a file has this path, or a path that ends with it."""
    paths = ["/" + path.relative_to(ROOT).as_posix() for path in FILES]
    return (ROOT / name).is_file() or any(path.endswith("/" + name) for path in paths)


def has_test(prefix: str) -> bool:
    """Return whether the name of a test starts with the prefix."""
    tests = [names for path, names in NAMES.items() if path.stem.startswith("test_")]
    return any(name.startswith(prefix) for names in tests for name in names)


def has_member(owner: str, name: str) -> bool:
    """Return whether a package, a module or a class contains the name."""
    package = {path.stem for path in NAMES if path.parent.name == owner}
    modules = [names for path, names in NAMES.items() if path.stem == owner]
    users = modules or [names for names in NAMES.values() if owner in names]
    return name in package if package else any(name in names for names in users)


def exists(code: str) -> bool:
    """Return whether a text in code type is an existing name, or no name at all."""
    if match := TEST_PREFIX.fullmatch(code):
        return has_test(match[1])
    if FILE_NAME.fullmatch(code):
        return has_file(code)
    if DOTTED_NAME.fullmatch(code):
        return has_member(*code.split(".")[-2:])
    if NAME.fullmatch(code):
        return code in ALL_NAMES | FOREIGN_WORDS
    return True


def find_unknown_names(text: str) -> list[str]:
    """Return the names in code type that do not exist."""
    return [code for code in CODE.findall(text) if not exists(code)]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.stem)
def test_names_in_code_type_exist(page: Path) -> None:
    assert find_unknown_names(page.read_text()) == []


@pytest.mark.parametrize(
    "name",
    ["no_such_name", "node.no_such_name", "no_such_file.py", "no_such_test…"],
)
def test_a_name_that_does_not_exist_is_found(name: str) -> None:
    assert find_unknown_names(f"`node` decides and `{name}` does not.") == [name]
