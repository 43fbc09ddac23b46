"""Tests that modules import only from their own or lower layers."""

import ast
import unittest
from collections.abc import Iterator
from pathlib import Path

import persimmonyoke

ROOT = Path(persimmonyoke.__file__).parent
PACKAGE = "persimmonyoke"
# Layers from section 2 of docs/design.md, lowest first.
LAYERS = (
    (
        "errors",
        "internal.values",
        "internal.awake_time",
        "internal.invariants",
        "internal.observability",
        "internal.settings",
    ),
    ("internal.platform",),
    ("internal.presets", "internal.audit"),
    ("internal.membership", "internal.fleet"),
    ("internal.upstreams",),
    ("internal.routing", "internal.admission", "internal.roles", "internal.dispatch"),
    ("internal.once", "internal.authority"),
    ("internal.delivery",),
    ("internal.callers", "internal.operators", "internal.gateway"),
    ("internal.node",),
)
PUBLIC_PACKAGES = ("persimmonyoke", "persimmonyoke.internal")
OTHER_PACKAGES = ("persimmonyoke_node", "persimmonyoke_cli", "persimmonyoke_testing")


def layer_of(module: str) -> int | None:
    """Return the layer of a module, or ``None`` for a package without a layer."""
    if module in PUBLIC_PACKAGES:
        return None
    name = module.removeprefix(f"{PACKAGE}.")
    for index, members in enumerate(LAYERS):
        if any(name == m or name.startswith(f"{m}.") for m in members):
            return index
    raise AssertionError(f"{module} is in no layer of docs/design.md")


def sources() -> Iterator[tuple[str, ast.Module]]:
    """Yield the name and syntax tree of each module of the library except tests."""
    for path in sorted(ROOT.rglob("*.py")):
        relative = path.relative_to(ROOT)
        if "tests" in relative.parts:
            continue
        parts = [PACKAGE, *relative.with_suffix("").parts]
        if parts[-1] == "__init__":
            parts.pop()
        yield ".".join(parts), ast.parse(path.read_text(encoding="utf-8"))


def imports(tree: ast.Module) -> Iterator[str]:
    """Yield the absolute names of imported modules, including nested imports."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            if node.level:
                raise AssertionError("relative imports hide the layer")
            yield node.module or ""
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


class ImportOrderTest(unittest.TestCase):
    def test_modules_import_only_from_their_own_or_lower_layers(self):
        # Imports of higher layers create cycles, so no package can be tested alone.
        upward, seen = [], 0
        for module, tree in sources():
            layer = layer_of(module)
            if layer is None:
                continue
            seen += 1
            for name in imports(tree):
                if not name.startswith(f"{PACKAGE}."):
                    continue
                target = layer_of(name)
                if target is not None and target > layer:
                    upward.append(f"{module} imports {name}")
        self.assertGreater(seen, 50)
        self.assertEqual(upward, [])

    def test_the_library_imports_no_other_package_of_the_workspace(self):
        # The daemon must run without the simulators.
        outward = [
            f"{module} imports {name}"
            for module, tree in sources()
            for name in imports(tree)
            if name.split(".")[0] in OTHER_PACKAGES
        ]
        self.assertEqual(outward, [])
