"""Tests of the audit search."""

import unittest
from collections.abc import Iterable

from persimmonyoke.errors import StoreUnavailable
from persimmonyoke.internal.audit import (
    AuditFilter,
    AuditRecord,
    AuditSource,
    ConfigurationAudit,
    search_audit,
)
from persimmonyoke.internal.presets import Change, ChangeAction, RevisionLog
from persimmonyoke_testing.builders_presets import derived_text, preset_text
from persimmonyoke_testing.memory_store import MemoryStore


class ListSource(AuditSource):
    """Audit source that returns the given records or fails."""

    def __init__(self, *records: AuditRecord, fails: bool = False) -> None:
        self._records = records
        self._fails = fails

    @property
    def name(self) -> str:
        return "orders"

    def records(self, *, limit: int) -> Iterable[AuditRecord]:
        if self._fails:
            raise StoreUnavailable("down")
        return self._records[:limit]


class AuditTest(unittest.TestCase):
    def setUp(self) -> None:
        self.times = iter(range(100, 200))
        self.store = MemoryStore()
        self.log = RevisionLog(
            self.store, firm="kente", unix_clock=lambda: next(self.times)
        )
        steps = (
            ("create", "base", preset_text("base"), "ama", "first"),
            ("create", "peak", derived_text("peak"), "kofi", "launch day"),
            ("choose", "peak", None, "ama", "launch starts"),
            ("edit", "base", preset_text("base", goodput_weight=3.0), "ama", "tune"),
        )
        for number, (action, preset, text, author, reason) in enumerate(steps):
            change = Change(ChangeAction(action), preset, author, reason, text)
            self.log.propose(change, base_number=number)
        self.order = AuditRecord(
            102.5, "controller", "order", "llm-1", "", "", "decode"
        )

    def search(self, *sources: AuditSource, **options):
        found = search_audit(
            (ConfigurationAudit(self.log), *sources), AuditFilter(**options)
        )
        return [record.subject for record in found.records], found

    def test_each_filter_selects_by_its_own_field(self):
        # A filter that is ignored would also show the changes of other operators.
        orders = ListSource(self.order)
        cases = (
            ({}, ["base", "llm-1", "peak", "peak", "base"]),
            ({"actor": "kofi"}, ["peak"]),
            ({"kind": "preset_choose"}, ["peak"]),
            ({"subject": "base"}, ["base", "base"]),
            ({"since_unix_s": 101, "until_unix_s": 103}, ["llm-1", "peak", "peak"]),
            ({"text": "LAUNCH"}, ["peak", "peak"]),
            ({"limit": 2}, ["base", "llm-1"]),
        )
        for options, subjects in cases:
            with self.subTest(options=options):
                self.assertEqual(self.search(orders, **options)[0], subjects)

    def test_records_show_what_was_in_force_and_what_changed(self):
        # Without both values, a record can't explain a later change in behaviour.
        _, found = self.search(kind="preset_edit")
        self.assertIn("~ base: goodput_weight: 1 -> 3", found.records[0].after)
        _, found = self.search(kind="preset_choose")
        self.assertEqual(
            (found.records[0].before, found.records[0].after), ("base", "peak")
        )

    def test_a_source_that_fails_is_named_and_the_others_are_searched(self):
        # Silently omitting the source would look as if nothing had been changed.
        subjects, found = self.search(ListSource(fails=True))
        self.assertEqual(found.missing_sources, ("orders",))
        self.assertEqual(len(subjects), 4)
        self.store.faults.down = True
        _, found = self.search(ListSource(self.order))
        self.assertEqual(found.missing_sources, ("configuration",))
        self.assertEqual(len(found.records), 1)

    def test_a_limit_out_of_bounds_is_refused(self):
        # A huge limit would read the whole history into memory.
        with self.assertRaisesRegex(ValueError, "limit is 0"):
            AuditFilter(limit=0)
