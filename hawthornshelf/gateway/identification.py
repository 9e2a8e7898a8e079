"""Decide which workspace a request belongs to, where callers compete for capacity."""

from dataclasses import dataclass, replace
from typing import NamedTuple

from hawthornshelf.gateway.exchange import InboundRequest
from hawthornshelf.gateway.routes import Route
from hawthornshelf.workspaces import WorkspaceIndex

__all__ = ["CallerKnown", "CallerUnknown", "identify_caller"]


class CallerKnown(NamedTuple):
    """Represent a request that may run, by a route with the priority that it has.

    `workspace` is None where no workspaces are in force, empty for an anonymous caller.
    """

    inbound: InboundRequest
    route: Route
    workspace: str | None


@dataclass(frozen=True, slots=True)
class CallerUnknown:
    """Represent a request whose caller has to name a known API key, and did not."""

    reason: str


def identify_caller(
    workspaces: WorkspaceIndex | None, route: Route, inbound: InboundRequest
) -> CallerKnown | CallerUnknown:
    """Decide by the API key of a request, and the workspaces in force, None without.

    The workspace takes the place of the credential as the caller, so that no digest of
    the request depends on a key. The headers keep the key, for a node that it is
    relayed to.
    """
    if workspaces is None:
        return CallerKnown(inbound, route, None)
    workspace = workspaces.find(inbound.key)
    if workspace is None:
        if not route.allows_anonymous:
            return CallerUnknown(_explain_unknown(inbound))
        return CallerKnown(replace(inbound, caller="", key=""), route, "")
    if workspace.priority is not None:
        route = route._replace(priority=workspace.priority)
    inbound = replace(inbound, caller=workspace.name, key="")
    return CallerKnown(inbound, route, workspace.name)


def _explain_unknown(inbound: InboundRequest) -> str:
    if inbound.key:
        return "the API key is unknown"
    if inbound.caller:
        return "the credential is no API key"
    return "the API key is missing"
