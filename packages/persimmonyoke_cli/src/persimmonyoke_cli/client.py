"""HTTP client for the operator API of an entry node."""

import json
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any
from urllib.parse import quote, urlencode

import urllib3
from urllib3.exceptions import HTTPError

from persimmonyoke.errors import ErrorKind
from persimmonyoke_cli.failures import CommandFailed, OutcomeUnknown, UsageError

URL_VARIABLE = "PERSIMMONYOKE_URL"
TOKEN_VARIABLE = "PERSIMMONYOKE_TOKEN"
TOKEN_FILE_VARIABLE = "PERSIMMONYOKE_TOKEN_FILE"
CONNECT_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 15.0
"""Exceeds the time an entry node needs to resolve a write whose response was lost."""

Json = dict[str, Any]


class OperatorClient:
    """Call the operator API; failures are raised as ``CommandFailed``."""

    def __init__(self, url: str, token: str) -> None:
        if not url.startswith(("http://", "https://")):
            raise UsageError(f"--url is {url!r}; accepted: http://IP:PORT")
        self._url = url.rstrip("/")
        self._headers = {"Authorization": f"Bearer {token}"}
        self._http = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
        )

    def get(self, path: str, query: Mapping[str, Any] | None = None) -> Json:
        """Send a GET request; query parameters that are ``None`` are omitted."""
        parameters = {
            key: value for key, value in (query or {}).items() if value is not None
        }
        return self._call(
            "GET", path + (f"?{urlencode(parameters)}" if parameters else "")
        )

    def preset(self, name: str) -> Json:
        """Return a preset with its text and the revision that it was read from."""
        return self.get(f"/presets/{quote(name, safe='')}")

    def revision(self, number: int) -> Json:
        """Return the presets of a revision whose document is still stored."""
        return self.get(f"/revisions/{number}")

    def change(self, body: Json) -> Json:
        """Propose a change; return its revision and the hosts that have applied it.

        Raises ``OutcomeUnknown`` if the store did not report whether it was written.
        """
        answer = self._call("POST", "/changes", body)
        _require_int(answer, "revision")
        return answer

    def _call(self, method: str, path: str, body: Json | None = None) -> Json:
        url = f"{self._url}/operators{path}"
        raw = None if body is None else json.dumps(body).encode()
        try:
            answer = self._http.request(method, url, body=raw, headers=self._headers)
        except (HTTPError, OSError) as error:
            raise CommandFailed(f"{self._url} did not answer: {error}") from error
        try:
            parsed = json.loads(answer.data)
        except ValueError as error:
            message = f"{url} is no operator interface (status {answer.status})"
            raise CommandFailed(message) from error
        if answer.status != 200:
            text = _error_text(parsed, answer.status)
            if _error_code(parsed) == ErrorKind.OUTCOME_UNKNOWN:
                raise OutcomeUnknown(text)
            raise CommandFailed(text)
        if not isinstance(parsed, dict):
            raise CommandFailed(f"{url} sent an answer of an unknown form")
        return parsed


def open_client(
    url: str | None, token: str | None, token_file: Path | None
) -> OperatorClient:
    """Return a client for the options, with environment variables as the fallback."""
    url = url or os.environ.get(URL_VARIABLE)
    if not url:
        raise UsageError(f"give --url or set {URL_VARIABLE}")
    return OperatorClient(url, _token(token, token_file))


def _token(token: str | None, token_file: Path | None) -> str:
    if token and token_file:
        raise UsageError("give either --token or --token-file")
    if not token and not token_file:
        token = os.environ.get(TOKEN_VARIABLE)
        variable = os.environ.get(TOKEN_FILE_VARIABLE)
        token_file = Path(variable) if variable and not token else None
    if token_file is not None:
        try:
            token = token_file.read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            raise UsageError(f"--token-file can't be read: {error}") from error
    if not token:
        variables = f"{TOKEN_VARIABLE} or {TOKEN_FILE_VARIABLE}"
        raise UsageError(f"give --token or --token-file, or set {variables}")
    return token


def _error_text(parsed: Any, status: int) -> str:
    error = parsed.get("error") if isinstance(parsed, dict) else None
    if not isinstance(error, dict):
        return f"the entry node answered with status {status}"
    lines = [f"{error.get('code', status)}: {error.get('message', '')}"]
    details = error.get("details")
    if isinstance(details, dict):
        lines.extend(f"  {line}" for line in details.get("difference", ()))
    retry_after_s = error.get("retry_after_s")
    if retry_after_s is not None:
        lines.append(f"  try again after {retry_after_s} s")
    return "\n".join(lines)


def _error_code(parsed: Any) -> Any:
    error = parsed.get("error") if isinstance(parsed, dict) else None
    return error.get("code") if isinstance(error, dict) else None


def _require_int(answer: Json, key: str) -> int:
    value = answer.get(key)
    if not isinstance(value, int):
        raise CommandFailed(f"the answer has no {key}: {answer!r:.200}")
    return value
