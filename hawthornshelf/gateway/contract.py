"""Define the interfaces that a platform adapter implements for gateway nodes."""

from abc import ABC, abstractmethod

from hawthornshelf.duties import CallOutcome, DutyCall
from hawthornshelf.gateway.routes import RouteTable
from hawthornshelf.gateway.runners import RunnerList

__all__ = ["DutyClient", "RouteCodec", "RunnerSource"]


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


class DutyClient(ABC):
    """Make the calls to the platform that are the duty of one node."""

    @abstractmethod
    async def call(
        self, call: DutyCall, holder: str, fence: int, valid_until: float
    ) -> CallOutcome:
        """Make a call once and return its outcome; raise no error of the connection.

        The call must be written before `valid_until`, in monotonic seconds. `holder`
        names this node, `fence` is the number of its term of duty.
        """
