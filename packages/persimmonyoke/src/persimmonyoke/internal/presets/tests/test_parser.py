"""Tests of the preset parser."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from persimmonyoke.errors import PresetError
from persimmonyoke.internal.presets import parse_preset, preset_difference
from persimmonyoke.internal.presets.parser import MAX_PRESET_BYTES
from persimmonyoke_testing.builders_presets import (
    build_preset,
    derived_text,
    example_presets,
    key_digest,
    large_preset_text,
    preset_text,
)


def faults_of(texts: dict[str, str], name: str = "ordinary") -> dict[str, str]:
    """Return problem and accepted values of each faulty key."""
    try:
        parse_preset(name, texts)
    except PresetError as error:
        return {
            fault.key: f"{fault.problem}|{fault.accepted}" for fault in error.faults
        }
    return {}


class PresetParserTest(unittest.TestCase):
    def test_every_fault_is_reported_with_what_is_accepted(self):
        # Reporting one fault at a time would take an attempt for each fault.
        text = preset_text(
            goodput_weight=0,
            colour="red",
            deadlines={"first_token_s": True, "last_token_s": 1},
            pools={
                "llm-pool": {
                    "kind": "engine",
                    "min_prefill_share": 0.8,
                    "max_prefill_share": 0.7,
                    "models": [],
                },
                "registry-api": {"kind": "service", "min_mixed_share": 0.1},
            },
            services={"registry-api": {"once_methods": ["GET", "FETCH"]}},
        )
        faults = faults_of({"ordinary": text})
        self.assertEqual(
            set(faults),
            {
                "goodput_weight",
                "colour",
                "deadlines.first_token_s",
                "deadlines.last_token_s",
                "pools.llm-pool.min_prefill_share",
                "pools.llm-pool.models",
                "pools.registry-api.min_mixed_share",
                "services.registry-api.once_methods",
            },
        )
        self.assertIn("first_token_s, inter_token_s", faults["deadlines.last_token_s"])

    def test_a_method_can_not_be_both_once_and_idempotent(self):
        # A registration with a method in both lists could be retried and billed twice.
        text = preset_text(
            services={
                "registry-api": {
                    "once_methods": ["POST"],
                    "idempotent_methods": ["GET", "POST"],
                }
            }
        )
        self.assertIn(
            "services.registry-api.once_methods", faults_of({"ordinary": text})
        )

    def test_one_key_in_two_workspaces_is_refused(self):
        # Otherwise the limits of the wrong workspace could apply to a caller.
        digests = {"key_digests": [key_digest("same")]}
        text = preset_text(workspaces={"a": digests, "b": digests})
        self.assertIn("workspaces.b.key_digests", faults_of({"ordinary": text}))

    def test_a_derived_preset_replaces_only_the_keys_it_names(self):
        # Without the inherited workspaces, every caller would be refused.
        texts = {
            "base": preset_text("base", goodput_weight=4.0),
            "peak": derived_text("peak", admission={"max_queue": 7}),
        }
        peak = parse_preset("peak", texts)
        self.assertEqual(peak.goodput_weight, 4.0)
        self.assertEqual(peak.admission.max_queue, 7)
        self.assertEqual(peak.admission.max_wait_s, 5.0)
        self.assertEqual(set(peak.workspaces), {"storefront"})

    def test_a_base_must_exist_and_have_no_base_itself(self):
        # Chains and cycles of bases would make it hard to see which value applies.
        texts = {
            "base": preset_text("base"),
            "peak": derived_text("peak"),
            "chain": derived_text("chain", base="peak"),
            "self": derived_text("self", base="self"),
            "lost": derived_text("lost", base="gone"),
        }
        for name in ("chain", "self", "lost"):
            with self.subTest(name=name):
                self.assertEqual(set(faults_of(texts, name)), {"base"})

    def test_a_preset_above_the_size_limit_is_refused_before_it_is_parsed(self):
        # Parsing a huge text would stall all streams of the node.
        text = preset_text() + "#" * MAX_PRESET_BYTES
        self.assertIn("bytes", faults_of({"ordinary": text})["(document)"])

    def test_a_base_for_all_workspaces_of_the_target_size_is_accepted(self):
        # The size limit must allow the number of workspaces that the system targets.
        preset = parse_preset("base", {"base": large_preset_text(1_900)})
        self.assertEqual(len(preset.workspaces), 1_900)

    @given(st.text(max_size=200))
    def test_any_invalid_text_raises_a_preset_error(self, text):
        # An operator's typing error must not cause a traceback.
        self.assertTrue(faults_of({"ordinary": text}))

    def test_a_difference_names_each_changed_setting_and_no_whole_digest(self):
        # An operator can't assess a conflict without the old and new values.
        old = build_preset(goodput_weight=1.0)
        new = build_preset(
            goodput_weight=2.0, workspaces={"new": {"key_digests": [key_digest("k")]}}
        )
        lines = preset_difference(old, new)
        self.assertIn("~ goodput_weight: 1 -> 2", lines)
        self.assertNotIn(key_digest("k"), "\n".join(lines))
        self.assertTrue(
            any(line.startswith("- workspaces.storefront") for line in lines)
        )


class ExamplePresetsTest(unittest.TestCase):
    def test_the_shipped_presets_parse_and_carry_the_weights_of_each_firm(self):
        # Swapped weights would favour goodput or role changes at the wrong firm.
        for firm in ("kente", "kereru"):
            texts = example_presets(firm)
            self.assertEqual(set(texts), {"base", "ordinary", "peak", "maintenance"})
            for name in texts:
                with self.subTest(firm=firm, name=name):
                    preset = parse_preset(name, texts)
                    kente = preset.goodput_weight > preset.role_change_weight
                    self.assertEqual(kente, firm == "kente")
                    self.assertEqual(
                        bool(preset.maintenance_zones), name == "maintenance"
                    )
                    self.assertEqual(len(preset.pools), 2)
