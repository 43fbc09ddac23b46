"""Authentication of workspaces by the SHA-256 digests of their API keys."""

import hashlib
import hmac

from persimmonyoke.errors import ErrorKind, RequestError
from persimmonyoke.internal.presets.model import Preset, WorkspacePolicy

SCHEME = "bearer"
MAX_KEY_CHARACTERS = 512
# Digests are indexed by prefix, since comparing a key with the digests of 1,900
# workspaces would take about a millisecond for each request. The lookup need not take
# constant time: the digest prefix of a presented key reveals nothing of a stored key.
INDEX_CHARACTERS = 8
DUMMY_DIGEST = "0" * 64


class Authenticator:
    """Look up API keys in the active preset."""

    def __init__(self) -> None:
        self._preset: Preset | None = None
        self._index: dict[str, list[tuple[str, WorkspacePolicy]]] = {}

    def authenticate(self, preset: Preset, header: str | None) -> WorkspacePolicy:
        """Return the workspace of an ``Authorization`` header.

        Raises ``RequestError`` with ``missing_key`` or ``wrong_key``.
        """
        if preset is not self._preset:
            self._rebuild(preset)
        key = self._key(header)
        digest = hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
        candidates = self._index.get(digest[:INDEX_CHARACTERS], ())
        found = None
        if not candidates:
            hmac.compare_digest(DUMMY_DIGEST, digest)
        for stored, workspace in candidates:
            if hmac.compare_digest(stored, digest):
                found = workspace
        if found is None:
            raise RequestError(ErrorKind.WRONG_KEY, "the API key is not valid")
        return found

    def _key(self, header: str | None) -> str:
        scheme, _, key = (header or "").strip().partition(" ")
        key = key.strip()
        if not key or scheme.lower() != SCHEME:
            raise RequestError(
                ErrorKind.MISSING_KEY,
                "the header 'Authorization: Bearer KEY' is missing",
            )
        if len(key) > MAX_KEY_CHARACTERS:
            raise RequestError(ErrorKind.WRONG_KEY, "the API key is not valid")
        return key

    def _rebuild(self, preset: Preset) -> None:
        index: dict[str, list[tuple[str, WorkspacePolicy]]] = {}
        for workspace in preset.workspaces.values():
            for digest in workspace.key_digests:
                normal = digest.lower()
                entry = (normal, workspace)
                index.setdefault(normal[:INDEX_CHARACTERS], []).append(entry)
        self._index = index
        self._preset = preset
