"""Tests of the command line against an operator API on a loopback socket."""

import contextlib
import io
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from persimmonyoke.internal.audit import ConfigurationAudit
from persimmonyoke.internal.operators import (
    HostRevision,
    OperatorBackend,
    operators_app,
)
from persimmonyoke.internal.presets import ConfigurationView, RevisionLog
from persimmonyoke.internal.settings import SettingsRole
from persimmonyoke_cli.__main__ import main
from persimmonyoke_cli.registry import COMMANDS
from persimmonyoke_testing.builders_presets import (
    EXAMPLES_PATH,
    derived_text,
    preset_text,
)
from persimmonyoke_testing.builders_settings import (
    OPERATOR_TOKEN,
    OPERATOR_TOKEN_DIGEST,
    settings_text,
)
from persimmonyoke_testing.loopback_server import LoopbackServer
from persimmonyoke_testing.memory_store import MemoryStore


def run(*arguments: str) -> tuple[int, str, str]:
    """Run a command and return its exit status, standard output and standard error."""
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        status = main(arguments)
    return status, output.getvalue(), errors.getvalue()


class CommandTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = MemoryStore()
        revisions = RevisionLog(self.store, firm="kente", settle_s=0.3)
        self.slow_host = HostRevision("tema-b-1", 0)
        self.view = ConfigurationView()
        self.catches_up_after_status = False
        backend = OperatorBackend(
            revisions=revisions,
            view=self.view,
            hosts=lambda: (
                HostRevision("accra-a-1", self.view.number),
                self.slow_host,
            ),
            audit_sources=(ConfigurationAudit(revisions),),
            extra_status=self.after_status,
        )
        app = operators_app(backend, token_digest=OPERATOR_TOKEN_DIGEST)
        self.server = LoopbackServer(app)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        variables = {
            "PERSIMMONYOKE_URL": self.server.url,
            "PERSIMMONYOKE_TOKEN": OPERATOR_TOKEN,
        }
        self.enterContext(mock.patch.dict(os.environ, variables))
        self.run_ok("preset", "create", "base", self.write_file(preset_text("base")))

    def after_status(self) -> dict[str, str]:
        if self.catches_up_after_status:
            self.slow_host = HostRevision("tema-b-1", self.view.number)
        return {}

    def write_file(self, text: str, name: str = "text.toml") -> str:
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def run_ok(self, *arguments: str) -> str:
        if arguments[1:2] and arguments[1] in ("create", "edit", "choose"):
            arguments += ("--reason", "test", "--author", "ama")
        status, output, errors = run(*arguments)
        self.assertEqual(status, 0, errors)
        return output

    def test_create_edit_choose_diff_history_and_audit(self):
        # The usual sequence of an operator has to work through one entry node.
        text = derived_text("peak", admission={"max_queue": 7})
        self.run_ok("preset", "create", "peak", self.write_file(text))
        self.run_ok("preset", "choose", "peak")
        edited = self.write_file(derived_text("peak", admission={"max_queue": 9}))
        self.run_ok("preset", "edit", "peak", edited, "--base", "3")
        self.assertIn("* peak", self.run_ok("preset", "list"))
        self.assertIn("max_queue = 9", self.run_ok("preset", "show", "peak"))
        self.assertIn("256 -> 9", self.run_ok("preset", "diff", "base", "peak"))
        self.assertIn("7 -> 9", self.run_ok("preset", "history", "--limit", "1"))
        found = self.run_ok("audit", "--kind", "preset_choose", "--actor", "ama")
        self.assertIn("preset_choose peak: test", found)
        self.assertIn(
            "in force on 1 of 2 live hosts",
            self.run_ok("status", "--url", self.server.url),
        )

    def test_waiting_shows_the_hosts_until_all_have_the_revision(self):
        # If --wait returned early, a host could still serve with the old preset.
        self.catches_up_after_status = True
        output = self.run_ok("preset", "choose", "base", "--wait")
        self.assertIn("revision 2 in force on 1 of 2 live hosts", output)
        self.assertIn("revision 2 in force on 2 of 2 live hosts", output)

    def test_failures_have_a_message_without_traceback_and_the_right_status(self):
        # Operators' scripts branch on the exit status.
        self.run_ok("preset", "choose", "base")
        broken = self.write_file("name = 'peak'\ncolour = 1\n", "broken.toml")
        reason = ("--reason", "test")
        cases = (
            (("preset", "choose", "gone", *reason), 1, "does not exist"),
            (("preset", "choose", "base", "--base", "1", *reason), 1, "conflict"),
            (("preset", "create", "peak", broken, *reason), 1, "colour"),
            (("preset", "show", "gone"), 1, "existing: base"),
            (("status", "--token", "wrong"), 1, "wrong_key"),
            (("status", "--url", "http://127.0.0.1:1"), 1, "did not answer"),
            (("status", "--url", "127.0.0.1"), 2, "accepted: http"),
            (("status", "--token-file", "/nonexistent"), 2, "can't be read"),
            (("audit", "--since", "yesterday"), 2, "--since"),
            (("preset", "choose", "base"), 2, "--reason"),
            (("preset", "edit", "base", broken, *reason), 2, "--base"),
            (("engine", "restart"), 2, "engine"),
        )
        for arguments, expected, message in cases:
            with self.subTest(arguments=arguments):
                status, _, errors = run(*arguments)
                self.assertEqual(status, expected, errors)
                self.assertIn(message, errors)
                self.assertNotIn("Traceback", errors)

    def test_a_preset_from_standard_input_is_refused_with_all_faults(self):
        # Reporting only the first error would cost one attempt for each error.
        text = "name = 'peak'\ncolour = 1\ngoodput_weight = -1\n"
        with mock.patch("sys.stdin", io.StringIO(text)):
            status, _, errors = run("preset", "create", "peak", "-", "--reason", "x")
        self.assertEqual(status, 1)
        self.assertIn("colour", errors)
        self.assertIn("goodput_weight", errors)

    def test_old_revisions_are_shown_and_compared(self):
        # Rolling back a preset needs the text of an earlier revision.
        edited = self.write_file(preset_text("base", goodput_weight=2.0))
        self.run_ok("preset", "edit", "base", edited, "--base", "1")
        old = self.run_ok("preset", "show", "base", "--revision", "1")
        self.assertEqual(old, preset_text("base"))
        for sides in (("1", "base"), ("base@1", "base"), ("base@1", "base@2")):
            with self.subTest(sides=sides):
                self.assertIn("1 -> 2", self.run_ok("preset", "diff", *sides))
        for arguments, expected, message in (
            (("show", "base", "--revision", "7"), 1, "no revision 7"),
            (("show", "gone", "--revision", "1"), 1, "existing: base"),
            (("diff", "1", "2"), 2, "NAME@N"),
            (("diff", "base@x", "base"), 2, "NAME@N"),
        ):
            with self.subTest(arguments=arguments):
                status, _, errors = run("preset", *arguments)
                self.assertEqual((status, message in errors), (expected, True), errors)

    def test_an_unknown_outcome_has_its_own_status_and_can_be_looked_up(self):
        # A script that retried the change blindly could revert a later change.
        self.store.faults.lose_answers = 1_000
        status, _, errors = run("preset", "choose", "base", "--reason", "mine")
        self.assertEqual(status, 3, errors)
        write_id = errors.partition("write id ")[2].split()[0]
        self.store.faults.lose_answers = 0
        found = self.run_ok("preset", "history", "--write-id", write_id)
        self.assertIn("mine", found)
        self.assertEqual(run("preset", "history", "--write-id", "none")[0], 1)

    def test_each_audit_filter_reaches_the_search(self):
        # A filter that is not sent would list the changes of all operators.
        self.run_ok("preset", "create", "peak", self.write_file(derived_text("peak")))
        run("preset", "choose", "peak", "--reason", "launch", "--author", "kofi")
        for options, count in (
            ((), 3),
            (("--actor", "kofi"), 1),
            (("--kind", "preset_create"), 2),
            (("--subject", "peak"), 2),
            (("--text", "launch"), 1),
            (("--limit", "2"), 2),
            (("--since", "2001-01-01"), 3),
            (("--since", "2999-01-01"), 0),
            (("--until", "2001-01-01T00:00+01:00"), 0),
        ):
            with self.subTest(options=options):
                lines = self.run_ok("audit", *options).splitlines()
                self.assertEqual(sum(not x.startswith(" ") for x in lines), count)

    def test_each_help_describes_the_options_and_the_exit_status(self):
        # Authors of scripts rely on the help for options and exit statuses.
        for command in (
            (),
            *(("preset", name) for name in COMMANDS["preset"]),
            ("status",),
            ("audit",),
        ):
            with self.subTest(command=command):
                status, output, _ = run(*command, "--help")
                self.assertEqual(status, 0)
                self.assertIn("Exit status: 0", " ".join(output.split()))
        self.assertIn("--wait", run("preset", "choose", "--help")[1])

    def test_an_incomplete_audit_is_a_failure(self):
        # With status 0 a script would take the partial list for a complete one.
        self.store.faults.down = True
        status, _, errors = run("audit")
        self.assertEqual(status, 1)
        self.assertIn("no answer from: configuration", errors)

    def test_a_missing_url_or_token_names_the_variable(self):
        # A default URL or token could reach the deployment of another firm.
        for name in ("PERSIMMONYOKE_URL", "PERSIMMONYOKE_TOKEN"):
            with self.subTest(name=name), mock.patch.dict(os.environ):
                del os.environ[name]
                status, _, errors = run("status")
                self.assertEqual(status, 2)
                self.assertIn(name, errors)

    def test_check_accepts_role_names_in_lower_case(self):
        # --role once accepted only the upper-case enum names and its error message
        # listed none of them; the binary uses lower-case role names.
        path = str(EXAMPLES_PATH / "kente" / "controller-1.toml")
        status, output, errors = run("check", "--role", "controller", path)
        self.assertEqual((status, errors), (0, ""))
        self.assertIn("valid settings (controller)", output)
        status, _, errors = run("check", "--role", "entry", path)
        self.assertEqual(status, 1)
        self.assertIn("listen: missing", errors)

    def test_check_lists_the_accepted_roles(self):
        # Without the list an operator would have to look up the names in the source.
        status, _, errors = run("check", "--role", "guard", "settings.toml")
        self.assertEqual(status, 2)
        for role in ("entry", "controller"):
            self.assertIn(role, errors.splitlines()[-1])

    def test_check_uses_the_singular_for_one_fault(self):
        # "has 1 faults" suggested that some faults were missing from the list.
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "base.toml"
            path.write_text('name = "base"\ncolour = 3\n', encoding="utf-8")
            status, _, errors = run("check", str(path))
        self.assertEqual(status, 1)
        self.assertIn("has 1 fault:", errors)

    def test_check_tells_settings_from_presets_and_names_each_fault(self):
        # Validation against the wrong schema reports only irrelevant errors.
        controller = settings_text(role=SettingsRole.CONTROLLER)
        peak = str(EXAMPLES_PATH / "kente" / "presets" / "peak.toml")
        cases = (
            (self.write_file(settings_text(), "entry.toml"), 0, "entry"),
            (self.write_file(controller, "controller.toml"), 0, "controller"),
            (peak, 0, "valid preset"),
            (
                self.write_file(settings_text(log={"level": "LOUD"}), "a.toml"),
                1,
                "log.level",
            ),
            (self.write_file("name = 'b'\ncolour = 1", "b.toml"), 1, "colour"),
            (self.write_file("name = ", "c.toml"), 1, "not valid TOML"),
            (str(self.folder / "none.toml"), 2, "can't be read"),
        )
        for path, expected, message in cases:
            with self.subTest(path=path):
                status, output, errors = run("check", path)
                self.assertEqual(status, expected, errors)
                self.assertIn(message, output + errors)
