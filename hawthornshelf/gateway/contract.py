"""Define what an adapter provides so that nodes can run on its platform."""

from abc import ABC, abstractmethod

from hawthornshelf.gateway.routes import RouteTable
from hawthornshelf.gateway.runners import RunnerList

__all__ = ["RouteCodec", "RunnerSource"]


class RouteCodec(ABC):
    """Read the route documents that operators send."""

    @abstractmethod
    def decode(self, body: bytes) -> RouteTable:
        """Return the table in a document; raise an ExceptionGroup of its faults."""


class RunnerSource(ABC):
    """Read the platform's list of runners."""

    @abstractmethod
    async def read(self) -> RunnerList:
        """Return the whole list; raise HawthornshelfError if it can't be had."""
