"""Parser of presets: strict TOML with one level of inheritance."""

from collections.abc import Mapping
from functools import lru_cache
from typing import Any

from persimmonyoke.errors import Fault, PresetError
from persimmonyoke.internal.presets.model import (
    AdmissionPolicy,
    Deadlines,
    ModelSpec,
    PoolKind,
    PoolPolicy,
    Preset,
    RetryPolicy,
    ServicePolicy,
    WorkspacePolicy,
)
from persimmonyoke.internal.settings.tables import (
    DOCUMENT_KEY,
    NAME_ACCEPTED,
    NAME_PATTERN,
    SHA256_ACCEPTED,
    SHA256_PATTERN,
    Table,
    parse_toml,
    read_values,
)

MAX_PRESET_BYTES = 512 * 1024
"""A base preset with 1,900 workspaces has about 400 KB, and a revision holds at most
1 MB for all presets together."""

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
MAX_WEIGHT = 1_000_000.0
MAX_DURATION_S = 31 * 86_400.0
PARSE_CACHE_SIZE = 6
"""Number of parsed texts that are cached. A parsed base for 1,900 workspaces takes
megabytes of the 32 MB that a node may use."""


def parse_preset(name: str, texts: Mapping[str, str]) -> Preset:
    """Parse a preset by name, with its base taken from the same texts.

    Raises ``PresetError`` with all faults.
    """
    own = _parsed(name, texts)
    base_name = own.get("base")
    values = own
    if isinstance(base_name, str):
        values = _merged(_base_values(name, base_name, texts), own)

    def read(root: Table) -> Preset:
        return _read_preset(root, name)

    return read_values(
        values, source=f"preset {name}", error_class=PresetError, read=read
    )


def check_presets(texts: Mapping[str, str]) -> None:
    """Parse all presets of a document; raise ``PresetError`` with all faults."""
    faults: list[Fault] = []
    for name in sorted(texts):
        if not NAME_PATTERN.fullmatch(name):
            faults.append(Fault(name, "invalid name of a preset", NAME_ACCEPTED))
        try:
            parse_preset(name, texts)
        except PresetError as error:
            faults.extend(
                Fault(f"{name}: {fault.key}", fault.problem, fault.accepted)
                for fault in error.faults
            )
    if faults:
        raise PresetError("configuration", tuple(faults))


def _parsed(name: str, texts: Mapping[str, str]) -> Mapping[str, Any]:
    text = texts.get(name)
    if text is None:
        accepted = ", ".join(sorted(texts)) or "no presets exist"
        raise _refusal(name, "there is no such preset", accepted)
    size = len(text.encode("utf-8", "surrogatepass"))
    if size > MAX_PRESET_BYTES:
        accepted = f"at most {MAX_PRESET_BYTES} bytes"
        raise _refusal(name, f"has {size} bytes", accepted)
    return _parsed_text(text, f"preset {name}")


@lru_cache(maxsize=PARSE_CACHE_SIZE)
def _parsed_text(text: str, source: str) -> Mapping[str, Any]:
    """Return the parsed text; cached, as several presets may share a large base."""
    return parse_toml(text, source=source, error_class=PresetError)


def _refusal(name: str, problem: str, accepted: str) -> PresetError:
    return PresetError(f"preset {name}", (Fault(DOCUMENT_KEY, problem, accepted),))


def _base_values(
    name: str, base_name: str, texts: Mapping[str, str]
) -> Mapping[str, Any]:
    others = sorted(set(texts) - {name})
    accepted = "one of " + ", ".join(others) if others else "no other preset exists"
    if base_name == name or base_name not in texts:
        fault = Fault("base", f"no other preset is named {base_name!r}", accepted)
        raise PresetError(f"preset {name}", (fault,))
    values = _parsed(base_name, texts)
    if "base" in values:
        problem = f"{base_name!r} has a base itself"
        fault = Fault("base", problem, "a preset without a base")
        raise PresetError(f"preset {name}", (fault,))
    return {key: value for key, value in values.items() if key != "name"}


def _merged(base: Mapping[str, Any], own: Mapping[str, Any]) -> dict[str, Any]:
    """Return the base overridden by the preset's own keys, with tables merged."""
    merged = dict(base)
    for key, value in own.items():
        inherited = merged.get(key)
        if isinstance(value, dict) and isinstance(inherited, dict):
            merged[key] = _merged(inherited, value)
        else:
            merged[key] = value
    return merged


def _read_preset(root: Table, name: str) -> Preset:
    own_name = root.string("name", pattern=NAME_PATTERN, accepted=NAME_ACCEPTED)
    if own_name and own_name != name:
        root.fault("name", f"is {own_name!r}", f"{name!r}, as the preset is stored")
    pools = {key: _read_pool(key, table) for key, table in root.named_tables("pools")}
    maintenance = root.table("maintenance")
    return Preset(
        name=own_name,
        base=root.string("base", default=None),
        goodput_weight=_weight(root, "goodput_weight"),
        role_change_weight=_weight(root, "role_change_weight"),
        deadlines=_read_deadlines(root.table("deadlines")),
        retry=_read_retry(root.table("retry")),
        admission=_read_admission(root.table("admission")),
        pools=pools,
        services=_read_services(root, pools),
        workspaces=_read_workspaces(root),
        maintenance_zones=frozenset(
            maintenance.strings(
                "availability_zones",
                default=(),
                pattern=NAME_PATTERN,
                accepted=NAME_ACCEPTED,
            )
        ),
        quarantine_hold_s=_duration(
            root.table("quarantine"), "hold_s", Preset.quarantine_hold_s
        ),
        once_keep_s=_duration(root.table("once"), "keep_s", Preset.once_keep_s),
    )


def _weight(table: Table, key: str) -> float:
    return table.number(key, default=1.0, maximum=MAX_WEIGHT, above_minimum=True)


def _duration(table: Table, key: str, default_s: float) -> float:
    return table.number(
        key, default=default_s, maximum=MAX_DURATION_S, above_minimum=True
    )


def _share(table: Table, key: str, default: float) -> float:
    return table.number(key, default=default, maximum=1.0)


def _read_deadlines(table: Table) -> Deadlines:
    default = Deadlines()
    return Deadlines(
        first_token_s=_duration(table, "first_token_s", default.first_token_s),
        inter_token_s=_duration(table, "inter_token_s", default.inter_token_s),
        total_s=_duration(table, "total_s", default.total_s),
    )


def _read_retry(table: Table) -> RetryPolicy:
    default = RetryPolicy()
    return RetryPolicy(budget_share=_share(table, "budget_share", default.budget_share))


def _read_admission(table: Table) -> AdmissionPolicy:
    default = AdmissionPolicy()
    return AdmissionPolicy(
        max_queue=table.integer("max_queue", default=default.max_queue, minimum=1),
        max_wait_s=_duration(table, "max_wait_s", default.max_wait_s),
    )


def _read_pool(name: str, table: Table) -> PoolPolicy:
    kind = table.string("kind", choices=tuple(PoolKind))
    engine = kind != PoolKind.SERVICE
    pool = PoolPolicy(
        name=name,
        kind=PoolKind(kind or PoolKind.ENGINE),
        min_prefill_share=_share(table, "min_prefill_share", 0.0) if engine else 0.0,
        max_prefill_share=_share(table, "max_prefill_share", 1.0) if engine else 1.0,
        min_mixed_share=_share(table, "min_mixed_share", 0.0) if engine else 0.0,
        models=_read_models(table) if engine else (),
        checks_fencing=table.boolean("checks_fencing", default=True)
        if engine
        else True,
    )
    _check_shares(table, pool)
    return pool


def _check_shares(table: Table, pool: PoolPolicy) -> None:
    if pool.min_prefill_share > pool.max_prefill_share:
        table.fault(
            "min_prefill_share",
            f"is {pool.min_prefill_share:g}",
            f"at most max_prefill_share, which is {pool.max_prefill_share:g}",
        )
    if pool.min_prefill_share + pool.min_mixed_share > 1.0:
        table.fault(
            "min_mixed_share",
            f"is {pool.min_mixed_share:g}",
            "at most 1 together with min_prefill_share",
        )


def _read_models(table: Table) -> tuple[ModelSpec, ...]:
    models = tuple(
        ModelSpec(
            name=item.string("name"),
            version=item.string("version"),
            adapters=item.strings("adapters", default=()),
        )
        for item in table.table_list("models")
    )
    names = [model.name for model in models]
    if len(set(names)) != len(names):
        table.fault("models", "a name occurs twice", "each model once")
    if not models:
        table.fault("models", "is empty or missing", "at least one model")
    return models


def _read_services(
    root: Table, pools: Mapping[str, PoolPolicy]
) -> dict[str, ServicePolicy]:
    services = {}
    for name, table in root.named_tables("services"):
        services[name] = _read_service(name, table)
        if name not in pools or pools[name].kind is not PoolKind.SERVICE:
            accepted = "a pool of kind service under [pools]"
            root.fault(f"services.{name}", "is no service pool", accepted)
    return services


def _read_service(name: str, table: Table) -> ServicePolicy:
    default = ServicePolicy(pool=name)

    def methods(key: str, default_methods: frozenset[str]) -> frozenset[str]:
        chosen = table.strings(key, default=sorted(default_methods), choices=METHODS)
        return frozenset(chosen)

    service = ServicePolicy(
        pool=name,
        once_methods=methods("once_methods", default.once_methods),
        idempotent_methods=methods("idempotent_methods", default.idempotent_methods),
        timeout_s=_duration(table, "timeout_s", default.timeout_s),
    )
    both = service.once_methods & service.idempotent_methods
    if both:
        # A method in both lists could be retried although it must run at most once.
        accepted = "methods that are not in idempotent_methods"
        table.fault("once_methods", f"{', '.join(sorted(both))} in both", accepted)
    return service


def _read_workspaces(root: Table) -> dict[str, WorkspacePolicy]:
    workspaces = {}
    owners: dict[str, str] = {}
    for name, table in root.named_tables("workspaces"):
        workspaces[name] = _read_workspace(name, table)
        for digest in workspaces[name].key_digests:
            owner = owners.setdefault(digest, name)
            if owner != name:
                accepted = "each key in one workspace"
                table.fault("key_digests", f"a key is also in {owner}", accepted)
    return workspaces


def _read_workspace(name: str, table: Table) -> WorkspacePolicy:
    default = WorkspacePolicy(name=name, key_digests=())
    return WorkspacePolicy(
        name=name,
        key_digests=table.strings(
            "key_digests", pattern=SHA256_PATTERN, accepted=SHA256_ACCEPTED
        ),
        requests_per_s=table.number(
            "requests_per_s", default=default.requests_per_s, above_minimum=True
        ),
        tokens_per_s=table.number(
            "tokens_per_s", default=default.tokens_per_s, above_minimum=True
        ),
        weight=_weight(table, "weight"),
        priority=table.integer("priority", default=0, minimum=-100, maximum=100),
    )
