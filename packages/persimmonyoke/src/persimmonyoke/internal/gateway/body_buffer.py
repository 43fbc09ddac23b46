"""Assemble a body from its parts without holding it twice."""

from persimmonyoke.internal.gateway.held_memory import LARGE_BYTES

Body = bytes | bytearray
"""A complete body; large ones are handed on in the buffer they were received in."""


class BodyBuffer:
    """Collect the parts of one body, in one allocation if its length is declared."""

    def __init__(self, declared_bytes: int = 0) -> None:
        self._data = bytearray(declared_bytes)
        self.size_bytes = 0

    def append(self, part: bytes) -> None:
        """Add a part."""
        end_bytes = self.size_bytes + len(part)
        if end_bytes > len(self._data):
            del self._data[self.size_bytes :]
            self._data += part
        else:
            self._data[self.size_bytes : end_bytes] = part
        self.size_bytes = end_bytes

    def take(self) -> Body:
        """Return the complete body; no part may be added afterwards."""
        del self._data[self.size_bytes :]
        return self._data if self.size_bytes > LARGE_BYTES else bytes(self._data)
