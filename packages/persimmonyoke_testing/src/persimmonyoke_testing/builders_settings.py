"""Builders of settings files."""

import hashlib
from typing import Any

import tomli_w

from persimmonyoke.internal.settings import Settings, SettingsRole, parse_settings

OPERATOR_TOKEN = "operator-token-for-tests"
OPERATOR_TOKEN_DIGEST = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
SHARED_KEY = "shared-key-of-the-peers-for-tests-only"
SIGNING_KEY = "signing-key-of-the-streams-for-tests-only"
ANY_PORT = "127.0.0.1:0"


def settings_values(
    *,
    role: SettingsRole = SettingsRole.ENTRY,
    name: str = "accra-a-1",
    firm: str = "kente",
    region: str = "gh-south",
    availability_zone: str = "accra-a",
    key_value: str = "http://127.0.0.1:2379",
    host_list: str = "http://127.0.0.1:8500",
    **tables: dict[str, Any],
) -> dict[str, Any]:
    """Return the values of a valid settings file; ``tables`` override single keys."""
    values: dict[str, Any] = {
        "process": {
            "name": name,
            "firm": firm,
            "region": region,
            "availability_zone": availability_zone,
        },
        "platform": {"key_value": key_value, "host_list": host_list},
        "peers": {"shared_key": SHARED_KEY},
    }
    if role is SettingsRole.ENTRY:
        values["listen"] = dict.fromkeys(("callers", "operators", "peers"), ANY_PORT)
        values["operators"] = {"token_digest": OPERATOR_TOKEN_DIGEST}
        values["streams"] = {"signing_key": SIGNING_KEY}
    else:
        values["controller"] = {"lease_s": 3.0, "order_deadline_s": 1.0}
    for table, replaced in tables.items():
        values[table] = {**values.get(table, {}), **replaced}
    return values


def settings_text(**options: Any) -> str:
    """Return a valid settings file; takes the options of ``settings_values``."""
    return tomli_w.dumps(settings_values(**options))


def build_settings(
    *, role: SettingsRole = SettingsRole.ENTRY, **options: Any
) -> Settings:
    """Return parsed settings; takes the options of ``settings_values``."""
    return parse_settings(settings_text(role=role, **options), role)
