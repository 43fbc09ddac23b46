"""Strict parsing of TOML tables that reports all faults at once."""

import math
import re
import tomllib
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, Final, TypeVar

from persimmonyoke.errors import Fault, InvalidDocumentError

DOCUMENT_KEY = "(document)"
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
NAME_ACCEPTED = (
    "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"
)
SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")
SHA256_ACCEPTED = "a sha256 digest of 64 lower-case hexadecimal digits"


class _Required:
    """Sentinel type of ``REQUIRED``, the default of a key that must be set."""


REQUIRED: Final = _Required()
ResultT = TypeVar("ResultT")


class Table:
    """Read the keys of one table and collect its faults.

    An invalid value is replaced by its default, or by an empty value of its type, so
    that parsing continues and finds the other faults too.
    """

    def __init__(
        self, values: Mapping[str, Any], path: str, faults: list[Fault]
    ) -> None:
        self._values = values
        self._path = path
        self._faults = faults
        self._known: set[str] = set()
        self._children: list[Table] = []
        self._allows_any_key = False

    def __contains__(self, key: str) -> bool:
        return key in self._values

    def key_path(self, key: str) -> str:
        """Return the full dotted name of a key of this table."""
        return f"{self._path}.{key}" if self._path else key

    def fault(self, key: str, problem: str, accepted: str) -> None:
        """Add a fault of a key."""
        self._faults.append(Fault(self.key_path(key), problem, accepted))

    def string(
        self,
        key: str,
        *,
        default: str | _Required | None = REQUIRED,
        pattern: re.Pattern[str] | None = None,
        choices: Sequence[str] = (),
        accepted: str = "a text that is not empty",
        secret: bool = False,
    ) -> Any:
        """Return a string that matches the pattern or is one of the choices.

        The fault of a secret doesn't contain its value.
        """
        if choices:
            accepted = "one of " + ", ".join(choices)
        raw = self._read_raw(key, default, accepted)
        if raw is None:
            return "" if isinstance(default, _Required) else default
        valid = isinstance(raw, str) and raw != ""
        valid = valid and (pattern is None or pattern.fullmatch(raw) is not None)
        valid = valid and (not choices or raw in choices)
        if not valid and secret:
            raw = "(not shown)"
        return self._value_or_default(key, raw, valid, accepted, default, "")

    def number(
        self,
        key: str,
        *,
        default: float | _Required = REQUIRED,
        minimum: float = 0.0,
        maximum: float = math.inf,
        above_minimum: bool = False,
    ) -> float:
        """Return a finite number in the range."""
        accepted = _range_text("a number", minimum, maximum, above_minimum)
        raw = self._read_raw(key, default, accepted)
        if raw is None:
            return 0.0 if isinstance(default, _Required) else float(default)
        valid = isinstance(raw, int | float) and not isinstance(raw, bool)
        valid = valid and math.isfinite(raw) and minimum <= raw <= maximum
        valid = valid and not (above_minimum and raw == minimum)
        value = float(raw) if valid else raw
        return self._value_or_default(key, value, valid, accepted, default, 0.0)

    def integer(
        self,
        key: str,
        *,
        default: int | _Required = REQUIRED,
        minimum: int = 0,
        maximum: int = 2**31,
    ) -> int:
        """Return an integer in the range."""
        accepted = _range_text("a whole number", minimum, maximum, False)
        raw = self._read_raw(key, default, accepted)
        if raw is None:
            return 0 if isinstance(default, _Required) else default
        valid = isinstance(raw, int) and not isinstance(raw, bool)
        valid = valid and minimum <= raw <= maximum
        return self._value_or_default(key, raw, valid, accepted, default, 0)

    def boolean(self, key: str, *, default: bool) -> bool:
        """Return true or false."""
        raw = self._read_raw(key, default, "true or false")
        if raw is None:
            return default
        valid = isinstance(raw, bool)
        return self._value_or_default(key, raw, valid, "true or false", default, False)

    def strings(
        self,
        key: str,
        *,
        default: Sequence[str] | _Required = REQUIRED,
        pattern: re.Pattern[str] | None = None,
        choices: Sequence[str] = (),
        accepted: str = "texts that are not empty",
    ) -> tuple[str, ...]:
        """Return a list of distinct strings."""
        if choices:
            accepted = "any of " + ", ".join(choices)
        accepted = f"a list without repetition of {accepted}"
        raw = self._read_raw(key, default, accepted)
        if raw is None:
            return () if isinstance(default, _Required) else tuple(default)
        valid = isinstance(raw, list) and all(isinstance(i, str) and i for i in raw)
        valid = valid and len(set(raw)) == len(raw)
        valid = valid and (pattern is None or all(pattern.fullmatch(i) for i in raw))
        valid = valid and (not choices or all(item in choices for item in raw))
        return tuple(self._value_or_default(key, raw, valid, accepted, default, ()))

    def table(self, key: str, *, required: bool = False) -> "Table":
        """Return a sub-table, empty if it is absent."""
        raw = self._read_raw(key, REQUIRED if required else {}, "a table")
        if raw is not None and not isinstance(raw, dict):
            self.fault(key, f"{raw!r} is not a table", "a table")
        return self._child(raw if isinstance(raw, dict) else {}, self.key_path(key))

    def named_tables(self, key: str) -> Iterator[tuple[str, "Table"]]:
        """Yield the sub-tables of a table whose keys are user-defined names."""
        outer = self.table(key)
        outer._allows_any_key = True
        for name, raw in outer._values.items():
            if not NAME_PATTERN.fullmatch(name):
                outer.fault(name, f"{name!r} is not a valid name", NAME_ACCEPTED)
            elif not isinstance(raw, dict):
                outer.fault(name, f"{raw!r} is not a table", "a table")
            else:
                yield name, outer._child(raw, outer.key_path(name))

    def table_list(self, key: str) -> tuple["Table", ...]:
        """Return the tables of a list of tables."""
        raw = self._read_raw(key, [], "a list of tables")
        if raw is None:
            return ()
        if not isinstance(raw, list) or not all(isinstance(i, dict) for i in raw):
            self.fault(key, "is not a list of tables", "a list of tables")
            return ()
        path = self.key_path(key)
        return tuple(self._child(v, f"{path}[{i}]") for i, v in enumerate(raw))

    def close(self) -> None:
        """Add a fault for each unknown key, in this table and its sub-tables."""
        if not self._allows_any_key:
            accepted = ", ".join(sorted(self._known)) or "no keys"
            for key in self._values:
                if key not in self._known:
                    self.fault(key, "unknown key", accepted)
        for child in self._children:
            child.close()

    def _child(self, values: Mapping[str, Any], path: str) -> "Table":
        child = Table(values, path, self._faults)
        self._children.append(child)
        return child

    def _read_raw(self, key: str, default: Any, accepted: str) -> Any:
        """Return the raw value, or ``None`` if the key is absent."""
        self._known.add(key)
        if key in self._values:
            return self._values[key]
        if isinstance(default, _Required):
            self.fault(key, "missing", accepted)
        return None

    def _value_or_default(
        self, key: str, value: Any, valid: bool, accepted: str, default: Any, empty: Any
    ) -> Any:
        if valid:
            return value
        self.fault(key, f"invalid value {_shortened_repr(value)}", accepted)
        return empty if isinstance(default, _Required) else default


def read_document(
    text: str,
    *,
    source: str,
    error_class: type[InvalidDocumentError],
    read: Callable[[Table], ResultT],
) -> ResultT:
    """Parse TOML and read it; raise ``error_class`` with all faults if there are any.

    ``read`` also gets the replacements of invalid values, so it must accept them.
    """
    return read_values(
        parse_toml(text, source=source, error_class=error_class),
        source=source,
        error_class=error_class,
        read=read,
    )


def parse_toml(
    text: str, *, source: str, error_class: type[InvalidDocumentError]
) -> dict[str, Any]:
    """Return the values of a TOML document; raise ``error_class`` if it is not TOML."""
    try:
        return tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError, ValueError) as error:
        fault = Fault(DOCUMENT_KEY, f"not valid TOML: {error}", "TOML 1.0")
        raise error_class(source, (fault,)) from error


def read_values(
    values: Mapping[str, Any],
    *,
    source: str,
    error_class: type[InvalidDocumentError],
    read: Callable[[Table], ResultT],
) -> ResultT:
    """Read parsed values; raise ``error_class`` with all faults if there are any."""
    faults: list[Fault] = []
    root = Table(values, "", faults)
    result = read(root)
    root.close()
    if faults:
        raise error_class(source, tuple(faults))
    return result


def _range_text(kind: str, minimum: float, maximum: float, above: bool) -> str:
    lower = f"above {minimum:g}" if above else f"from {minimum:g}"
    return f"{kind} {lower}" + ("" if maximum == math.inf else f" to {maximum:g}")


def _shortened_repr(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."
