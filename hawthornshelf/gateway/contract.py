"""Define the interfaces that a platform adapter implements for gateway nodes."""

from abc import ABC, abstractmethod

from hawthornshelf.gateway.routes import RouteTable
from hawthornshelf.gateway.runners import RunnerList

__all__ = ["RouteCodec", "RunnerSource"]


class RouteCodec(ABC):
    """Decode the route documents that operators send."""

    @abstractmethod
    def decode(self, body: bytes) -> RouteTable:
        """Return the route table in a document.

        Raises an ExceptionGroup of DeclarationError with all faults.
        """


class RunnerSource(ABC):
    """Read the platform's list of runners."""

    @abstractmethod
    async def read(self) -> RunnerList:
        """Return the whole list; raise HawthornshelfError if reading it fails."""
