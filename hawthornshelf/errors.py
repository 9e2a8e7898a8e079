"""Define the errors of the package, each with the failed step and the peer."""

__all__ = [
    "CallFailed",
    "ControlUnavailable",
    "DeclarationError",
    "HawthornshelfError",
    "MalformedMessage",
    "RequestRefused",
    "SettingError",
    "StorageCorrupt",
    "StorageFailed",
]


class HawthornshelfError(Exception):
    """Represent a failed step, with the peer concerned and the reason."""

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} at {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason


class CallFailed(HawthornshelfError):
    """Report that a call to another node got no response, and if it timed out."""

    def __init__(self, step: str, peer: str, reason: str, is_timeout: bool) -> None:
        super().__init__(step, peer, reason)
        self.is_timeout = is_timeout


class MalformedMessage(HawthornshelfError):
    """Report bytes from a peer that do not decode to a known message type."""


class StorageCorrupt(HawthornshelfError):
    """Report a data folder with synced contents that are corrupt or inconsistent."""


class StorageFailed(HawthornshelfError):
    """Report a failed write or sync; nothing is written after it until a recovery."""


class ControlUnavailable(HawthornshelfError):
    """Report that no control leader replied within the time limit."""


class RequestRefused(HawthornshelfError):
    """Report that a peer refused a request, with its HTTP status."""

    def __init__(self, step: str, peer: str, reason: str, status: int) -> None:
        super().__init__(step, peer, reason)
        self.status = status


class SettingError(HawthornshelfError):
    """Report an invalid setting with its name, value and allowed values."""

    def __init__(self, name: str, value: str, allowed: str) -> None:
        super().__init__("check settings", name, f"got {value!r}, allowed: {allowed}")
        self.name = name
        self.value = value
        self.allowed = allowed


class DeclarationError(HawthornshelfError):
    """Report a fault in a declaration with the path of the field."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__("check declaration", path, reason)
