"""Find the workspace of a caller by its API key, where many share one system."""

import hashlib
import re
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from hawthornshelf.errors import DeclarationError

__all__ = ["Workspace", "WorkspaceIndex", "check_workspaces", "digest_key"]

# A field value of RFC 9110, 5.5, in US-ASCII: recipients strip spaces at its ends and
# differ in how they read other bytes.
_HEADER_VALUE = re.compile(r"[!-~]([\t -~]*[!-~])?")


class Workspace(NamedTuple):
    """Describe a workspace; `key_digests` are the digests of its API keys.

    `priority` replaces that of the route, 0 is the most urgent; None keeps the route's.
    """

    name: str
    key_digests: frozenset[bytes]
    priority: int | None = None


def digest_key(key: str) -> bytes:
    """Return the SHA-256 digest of an API key.

    Bytes of a header that are no UTF-8 come as surrogate escapes.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()


class WorkspaceIndex:
    """Index workspaces by the digests of their API keys; the keys are not kept."""

    def __init__(self, workspaces: Iterable[Workspace]) -> None:
        self._by_digest = {
            digest: workspace
            for workspace in workspaces
            for digest in workspace.key_digests
        }

    def find(self, key: str) -> Workspace | None:
        """Return the workspace that an API key belongs to, None if no one has it.

        The empty key belongs to none, as it stands for a request without one.
        """
        return self._by_digest.get(digest_key(key)) if key else None


def check_workspaces(workspaces: Sequence[Workspace]) -> list[DeclarationError]:
    """Return every fault of the workspaces by their positions, never naming a key."""
    return list(_find_faults(workspaces))


def _find_faults(workspaces: Sequence[Workspace]) -> Iterator[DeclarationError]:
    names: dict[str, int] = {}
    owners: dict[bytes, int] = {}
    for position, workspace in enumerate(workspaces):
        path = f"workspaces[{position}]"
        if not workspace.name:
            yield DeclarationError(path, "the name is empty")
        elif not _HEADER_VALUE.fullmatch(workspace.name):
            yield DeclarationError(path, "the name is not valid in a header")
        first = names.setdefault(workspace.name, position)
        if first != position:
            yield DeclarationError(path, f"the name is that of workspaces[{first}]")
        shared = Counter(
            owner
            for digest in workspace.key_digests
            if (owner := owners.setdefault(digest, position)) != position
        )
        for owner, count in sorted(shared.items()):
            keys = "a key" if count == 1 else f"{count} keys"
            yield DeclarationError(path, f"shares {keys} with workspaces[{owner}]")
        if workspace.priority is not None and workspace.priority < 0:
            yield DeclarationError(path, "the priority is negative")
