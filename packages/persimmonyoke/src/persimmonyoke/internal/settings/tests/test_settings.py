"""Tests of the settings of one process."""

import tempfile
import unittest
from pathlib import Path

import tomli_w
from hypothesis import given
from hypothesis import strategies as st

from persimmonyoke.errors import SettingsError
from persimmonyoke.internal.settings import (
    SettingsRole,
    load_settings,
    parse_settings,
)
from persimmonyoke_testing.builders_settings import (
    SHARED_KEY,
    build_settings,
    settings_text,
    settings_values,
)


def faults_of(text: str, role: SettingsRole = SettingsRole.ENTRY) -> dict[str, str]:
    """Return the accepted values by faulty key; empty if the text is valid."""
    try:
        parse_settings(text, role)
    except SettingsError as error:
        return {
            fault.key: f"{fault.problem}|{fault.accepted}" for fault in error.faults
        }
    return {}


class SettingsTest(unittest.TestCase):
    def test_every_fault_is_reported_at_once(self):
        # Reporting one fault at a time would take the operator one restart for each.
        text = settings_text(
            process={"name": "spaces are refused", "color": "red"},
            listen={"callers": "localhost:80"},
            limits={"body_bytes": True, "receive_s": -1},
            log={"level": "LOUD"},
            shutdown={"max_age_s": 700},
        )
        faults = faults_of(text)
        self.assertEqual(
            set(faults),
            {
                "process.name",
                "process.color",
                "listen.callers",
                "limits.body_bytes",
                "limits.receive_s",
                "log.level",
                "shutdown.hard_limit_s",
            },
        )
        self.assertIn("availability_zone, firm, name, region", faults["process.color"])

    def test_each_role_requires_its_own_tables(self):
        # A missing key would otherwise only fail at the first request, not at start.
        entry = faults_of("", SettingsRole.ENTRY)
        controller = faults_of("", SettingsRole.CONTROLLER)
        self.assertLessEqual({"streams", "operators", "listen"}, set(entry))
        self.assertLessEqual({"controller", "peers", "platform"}, set(controller))
        self.assertNotIn("streams", controller)
        self.assertIsNone(build_settings(role=SettingsRole.CONTROLLER).streams)

    def test_an_unknown_table_is_refused_with_the_accepted_ones(self):
        # If a misspelt table were ignored, its defaults would silently apply.
        faults = faults_of(settings_text(limit={"body_bytes": 1}))
        self.assertEqual(set(faults), {"limit"})
        self.assertIn("limits", faults["limit"])

    def test_keys_appear_neither_in_faults_nor_in_the_printed_settings(self):
        # Settings and their faults are logged when a process starts.
        self.assertNotIn(SHARED_KEY, repr(build_settings()))
        faults = faults_of(settings_text(peers={"shared_key": "short-secret"}))
        self.assertNotIn("short-secret", faults["peers.shared_key"])
        faults = faults_of(settings_text(streams={"signing_key": "short-secret"}))
        self.assertNotIn("short-secret", faults["streams.signing_key"])

    def test_the_shared_key_comes_from_exactly_one_place(self):
        # If the sources differed, hosts could use different keys and refuse each other.
        values = settings_values(peers={"shared_key_file": "key"})
        self.assertIn("peers.shared_key", faults_of(tomli_w.dumps(values)))
        del values["peers"]["shared_key"]
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "entry.toml"
            path.write_text(tomli_w.dumps(values))
            with self.assertRaisesRegex(SettingsError, "shared_key_file"):
                load_settings(path, SettingsRole.ENTRY)
            (path.parent / "key").write_text(SHARED_KEY + "\n")
            settings = load_settings(path, SettingsRole.ENTRY)
        self.assertEqual(settings.peers.shared_key, SHARED_KEY)

    def test_a_file_that_is_missing_or_not_toml_is_a_settings_error(self):
        # Any other exception would terminate the process with a traceback.
        with self.assertRaises(SettingsError):
            load_settings(Path("/nonexistent/entry.toml"), SettingsRole.ENTRY)
        self.assertIn("(document)", faults_of("[process\n"))

    @given(
        st.dictionaries(
            st.sampled_from(
                ["process", "listen", "platform", "peers", "log", "limits"]
            ),
            st.recursive(
                st.none().map(lambda _: 1) | st.booleans() | st.integers() | st.text(),
                lambda inner: (
                    st.lists(inner, max_size=3)
                    | st.dictionaries(
                        st.sampled_from(["name", "callers", "level", "key_value"]),
                        inner,
                    )
                ),
                max_leaves=6,
            ),
        )
    )
    def test_any_toml_ends_in_settings_or_a_settings_error(self, values):
        # A wrong type in a file must not terminate the process with a traceback.
        faults = faults_of(tomli_w.dumps(values))
        self.assertTrue(faults)
