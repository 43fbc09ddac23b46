"""Redaction of keys and tokens in log lines."""

import re

REPLACEMENT = "[redacted]"
MIN_SECRET_CHARACTERS = 8
"""Shorter secrets would match ordinary words and garble the logs."""

_BEARER = re.compile(r"(?i)\b(bearer\s+)[^\s\"',;]+")
_API_KEY = re.compile(r"\b[sp]k-[A-Za-z0-9_-]{8,}")
_ASSIGNMENT = re.compile(
    r"(?i)\b((?:api[_-]?key|token|secret|password|signing_key|shared_key|"
    r"authorization)[\"']?\s*[=:]\s*[\"']?)(?!bearer\b)[^\s\"',;}\]]+"
)

_secrets: set[str] = set()


def register_secret(secret: str) -> None:
    """Redact the secret in all later log lines.

    Raises ``ValueError`` if the secret is too short to be recognised safely.
    """
    if len(secret) < MIN_SECRET_CHARACTERS:
        raise ValueError(
            f"secret has {len(secret)} characters; accepted: at least "
            f"{MIN_SECRET_CHARACTERS}"
        )
    _secrets.add(secret)


def redact(text: str) -> str:
    """Replace bearer tokens, API keys and registered secrets in a text."""
    for secret in _secrets:
        text = text.replace(secret, REPLACEMENT)
    text = _BEARER.sub(rf"\1{REPLACEMENT}", text)
    text = _API_KEY.sub(REPLACEMENT, text)
    return _ASSIGNMENT.sub(rf"\1{REPLACEMENT}", text)
