"""Define every error of the package, each with the step and the peer it arose at."""

__all__ = [
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
    """Carry the step that failed, the peer concerned and the reason."""

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} at {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason


class MalformedMessage(HawthornshelfError):
    """Report bytes from a peer that do not decode to a known message."""


class StorageCorrupt(HawthornshelfError):
    """Report a data folder whose synced contents fail their checksum."""


class StorageFailed(HawthornshelfError):
    """Report a write or sync that failed, after which nothing more is written."""


class ControlUnavailable(HawthornshelfError):
    """Report that no control leader answered within the time allowed."""


class RequestRefused(HawthornshelfError):
    """Report a refusal by a peer, with its HTTP status."""

    def __init__(self, step: str, peer: str, reason: str, status: int) -> None:
        super().__init__(step, peer, reason)
        self.status = status


class SettingError(HawthornshelfError):
    """Report one bad setting with its name, value and the allowed values."""

    def __init__(self, name: str, value: str, allowed: str) -> None:
        super().__init__("check settings", name, f"got {value!r}, allowed: {allowed}")
        self.name = name
        self.value = value
        self.allowed = allowed


class DeclarationError(HawthornshelfError):
    """Report one fault of a declaration with the path of the field."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__("check declaration", path, reason)
