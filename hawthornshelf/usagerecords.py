"""Describe the counts of requests by workspace that are reported to the platform."""

from typing import NamedTuple

__all__ = ["WorkspaceCount"]


class WorkspaceCount(NamedTuple):
    """Represent how many requests of a workspace began to run."""

    workspace: str
    count: int  # type: ignore[assignment]
