"""Test the index of workspaces by API key, and which declarations are refused."""

import pytest

from hawthornshelf.workspaces import (
    Workspace,
    WorkspaceIndex,
    check_workspaces,
    digest_key,
)


def make(name: str, *keys: str, priority: int | None = None) -> Workspace:
    return Workspace(name, frozenset(map(digest_key, keys)), priority)


def faults(*workspaces: Workspace) -> list[str]:
    return [f"{fault.peer}: {fault.reason}" for fault in check_workspaces(workspaces)]


def test_each_key_finds_its_workspace_and_no_other_text_does() -> None:
    acme, beta = make("acme", "k1", "k2", priority=0), make("beta", "k3")
    index = WorkspaceIndex([acme, beta, make("gone")])
    assert [index.find(key) for key in ("k1", "k2", "k3")] == [acme, acme, beta]
    for key in ("", "K1", "k1 ", " k1", "k", "k11", "acme", digest_key("k1").hex()):
        assert index.find(key) is None


def test_an_empty_key_admits_no_request_without_a_key() -> None:
    assert WorkspaceIndex([make("acme", "")]).find("") is None


def test_a_key_that_is_no_unicode_is_looked_up_like_any_other() -> None:
    assert WorkspaceIndex([make("acme", "é")]).find("\udcff") is None
    assert WorkspaceIndex([make("acme", "é")]).find("é") is not None


def test_the_index_keeps_no_key() -> None:
    index = WorkspaceIndex([make("acme", "secret-1")])
    assert "secret-1" not in repr(vars(index))


@pytest.mark.parametrize("name", ["a", "Acme Corp. #1", "x\ty", "~", "a" * 200])
def test_names_that_are_valid_in_a_header_are_accepted(name: str) -> None:
    assert faults(make(name, "k")) == []


@pytest.mark.parametrize(
    "name", [" a", "a ", "a\r\nX: y", "a\n", "\n", "a\0", "é", "\t", "\x7f", "a\udcff"]
)
def test_names_that_are_not_valid_in_a_header_are_refused(name: str) -> None:
    assert faults(make("ok", "k1"), make(name, "k2")) == [
        "workspaces[1]: the name is not valid in a header"
    ]


def test_all_faults_are_named_by_position_and_none_by_key() -> None:
    found = faults(
        make("acme", "secret-1", "secret-2", "secret-3"),
        make("", "secret-4"),
        make("acme", "secret-5", priority=-1),
        make("beta", "secret-1", "secret-2", "secret-4"),
    )
    assert found == [
        "workspaces[1]: the name is empty",
        "workspaces[2]: the name is that of workspaces[0]",
        "workspaces[2]: the priority is negative",
        "workspaces[3]: shares 2 keys with workspaces[0]",
        "workspaces[3]: shares a key with workspaces[1]",
    ]
    assert "secret" not in "".join(found)


def test_workspaces_without_keys_or_of_equal_priority_are_valid() -> None:
    assert faults() == []
    assert faults(make("a"), make("b"), make("c", "k", priority=0)) == []
