"""Tests of revisions: their encoding, their log and the configuration in force."""

import random
import threading
import time
import unittest

import cbor2
from hypothesis import given
from hypothesis import strategies as st

from persimmonyoke.errors import (
    InvariantViolation,
    PresetError,
    ProtocolError,
    StoreUnavailable,
)
from persimmonyoke.internal.presets import (
    Accepted,
    Change,
    ChangeAction,
    ConfigurationView,
    Conflict,
    RevisionLog,
    Unsettled,
    decode_revision,
    encode_revision,
    follow_revisions,
)
from persimmonyoke_testing.builders_presets import (
    FIRM,
    build_revision,
    derived_text,
    large_preset_text,
    preset_text,
)
from persimmonyoke_testing.key_value_state import KeyValueState
from persimmonyoke_testing.memory_store import MemoryStore

SEEDS = range(20)


def change(action: str, preset: str, text: str | None = None, author: str = "ama"):
    """Return a change with a reason."""
    return Change(ChangeAction(action), preset, author, "test", text)


class RevisionCodecTest(unittest.TestCase):
    def test_a_revision_survives_the_round_trip(self):
        # A field lost in encoding would differ between the store and the peers.
        revision = build_revision(7)
        self.assertEqual(decode_revision(encode_revision(revision)), revision)

    @given(st.binary(max_size=300))
    def test_arbitrary_bytes_raise_a_protocol_error(self, blob):
        # A faulty peer must not end the task that reads from it.
        with self.assertRaises(ProtocolError):
            decode_revision(blob)

    @given(st.data())
    def test_a_corrupt_revision_is_decoded_or_raises_a_protocol_error(self, data):
        # Corrupt data that is valid CBOR must be rejected by the checks of the fields.
        blob = bytearray(encode_revision(build_revision()))
        for _ in range(data.draw(st.integers(1, 4))):
            position = data.draw(st.integers(0, len(blob) - 1))
            blob[position] = data.draw(st.integers(0, 255))
        try:
            decode_revision(bytes(blob))
        except ProtocolError:
            pass

    def test_wrong_types_and_fields_are_refused(self):
        # A malformed revision in force would have unpredictable effects.
        valid = cbor2.loads(encode_revision(build_revision()))
        wrong = {
            "number": [0, True, 1.0, 10**10],
            "created_unix_s": ["1", float("nan"), True],
            "presets": [{}, {1: "x"}, {"ordinary": 1}],
            "active": ["gone", None],
            "action": ["destroy", 1],
            "v": [2],
            "extra": [1],
        }
        for key, values in wrong.items():
            for value in values:
                with (
                    self.subTest(key=key, value=value),
                    self.assertRaises(ProtocolError),
                ):
                    decode_revision(cbor2.dumps({**valid, key: value}))
        with self.assertRaises(ProtocolError):
            decode_revision(encode_revision(build_revision()) + b"\x00")


class RevisionLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = KeyValueState()
        self.store, self.log = self.new_log()
        self.propose("create", "base", preset_text("base"), base_number=0)

    def new_log(self, settle_s: float = 10.0) -> tuple[MemoryStore, RevisionLog]:
        store = MemoryStore(state=self.state)
        log = RevisionLog(store, firm=FIRM, settle_s=settle_s, settle_pause_s=0.02)
        return store, log

    def propose(self, action, preset, text=None, *, base_number):
        outcome = self.log.propose(
            change(action, preset, text), base_number=base_number
        )
        self.assertIsInstance(outcome, Accepted)
        return outcome.revision

    def test_changes_append_revisions_and_only_choose_moves_the_active_preset(self):
        # An operator does not expect an edit to switch the preset in force.
        self.propose("create", "peak", derived_text("peak"), base_number=1)
        self.assertEqual(self.log.newest().active, "base")
        self.propose("choose", "peak", base_number=2)
        self.assertEqual(self.log.newest().active, "peak")
        self.assertEqual([r.number for r in self.log.history()], [3, 2, 1])
        self.assertEqual([r.number for r in self.log.history(2)], [3, 2])

    def test_a_preset_that_does_not_parse_is_never_written(self):
        # Every node would refuse it and keep the old configuration.
        for case in (
            change("create", "peak", "name = 'peak'\nbase = 'gone'"),
            change("edit", "base", "name = 'base'\ncolour = 1"),
            change("create", "base", preset_text("base")),
            change("choose", "gone"),
            change("choose", "base", "text"),
            change("create", "peak"),
            change("create", "../peak", preset_text("../peak")),
        ):
            with self.subTest(case=case), self.assertRaises(PresetError):
                self.log.propose(case, base_number=1)
        self.assertEqual(self.log.newest().number, 1)

    def test_an_edit_of_the_base_is_checked_against_its_derived_presets(self):
        # Otherwise an unchanged derived preset could become invalid.
        text = derived_text("peak", services={"registry-api": {"timeout_s": 1.0}})
        self.propose("create", "peak", text, base_number=1)
        edited = preset_text("base", services=None, pools=None)
        with self.assertRaisesRegex(PresetError, "peak: services"):
            self.log.propose(change("edit", "base", edited), base_number=2)

    def test_a_change_on_an_old_base_conflicts_with_a_readable_difference(self):
        # Overwriting would silently undo the other operator's change.
        edited = preset_text("base", goodput_weight=2.0)
        self.propose("edit", "base", edited, base_number=1)
        outcome = self.log.propose(change("choose", "base"), base_number=1)
        self.assertIsInstance(outcome, Conflict)
        self.assertEqual(outcome.current.number, 2)
        self.assertEqual(outcome.difference, ("~ base: goodput_weight: 1 -> 2",))

    def test_racing_operators_get_one_revision_for_each_acceptance(self):
        # Accepting one number twice would lose one operator's change.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check_race(random.Random(seed))

    def check_race(self, rng: random.Random) -> None:
        base_number = self.log.newest().number
        outcomes = {}

        def operate(author: str) -> None:
            store, log = self.new_log()
            store.faults.lose_answers = rng.randrange(2)
            store.faults.lose_requests = rng.randrange(2)
            store.faults.slow_s = rng.uniform(0, 0.01)
            asked = change("choose", "base", author=author)
            outcomes[author] = log.propose(asked, base_number=base_number)

        tasks = [threading.Thread(target=operate, args=(a,)) for a in ("ama", "kofi")]
        for task in tasks:
            task.start()
        for task in tasks:
            task.join()
        newest = self.log.newest()
        self.assertEqual(newest.number, base_number + 1)
        for author, outcome in outcomes.items():
            self.assertEqual(isinstance(outcome, Accepted), author == newest.author)

    def test_a_lost_answer_is_settled_as_accepted_once(self):
        # If a failure were reported, the operator would repeat an accepted change.
        self.store.faults.lose_answers = 1
        self.propose("choose", "base", base_number=1)
        self.store.faults.lose_requests = 1
        self.propose("choose", "base", base_number=2)
        self.assertEqual(self.log.newest().number, 3)

    def test_an_outage_is_distinguished_from_an_unknown_outcome(self):
        # A change that was not written can be repeated safely; one of unknown outcome
        # can't.
        asked = change("choose", "base")
        store, log = self.new_log(settle_s=0.3)
        store.faults.lose_requests = 1_000
        self.assertIsInstance(log.propose(asked, base_number=1), Unsettled)
        store.faults.lose_requests = 0
        write = store.compare_and_swap

        def write_while_down(key, value, **options):
            store.faults.down = True
            return write(key, value, **options)

        store.compare_and_swap = write_while_down
        with self.assertRaises(StoreUnavailable):
            log.propose(asked, base_number=1)

    def test_the_first_revision_holds_several_presets_and_is_written_once(self):
        # A second bootstrap would overwrite changes that operators have made since.
        log = RevisionLog(MemoryStore(), firm=FIRM)
        presets = {"base": preset_text("base"), "peak": derived_text("peak")}
        options = {"active": "peak", "author": "set-up", "reason": "first"}
        self.assertIsInstance(log.bootstrap(presets, **options), Accepted)
        self.assertIsInstance(log.bootstrap(presets, **options), Conflict)


class ConfigurationViewTest(unittest.TestCase):
    def setUp(self) -> None:
        self.view = ConfigurationView()

    def test_older_and_repeated_revisions_are_not_applied(self):
        # After a partition, a peer may offer an old configuration.
        rng = random.Random(7)
        numbers = [rng.randrange(1, 30) for _ in range(200)]
        seen = []
        self.view.subscribe(lambda revision, preset: seen.append(revision.number))
        for number in numbers:
            self.view.offer(build_revision(number), now_s=0.0)
        self.assertEqual(seen, sorted(set(seen)))
        self.assertEqual(self.view.number, max(numbers))

    def test_two_contents_under_one_number_violate_the_invariant(self):
        # Otherwise two hosts could have different configurations in force unnoticed.
        self.view.offer(build_revision(3), now_s=0.0)
        with self.assertRaises(InvariantViolation):
            self.view.offer(build_revision(3, write_id="other"), now_s=0.0)

    def test_a_revision_that_does_not_parse_leaves_the_old_one_in_force(self):
        # A node without a configuration would refuse every caller.
        self.view.offer(build_revision(1), now_s=0.0)
        broken = build_revision(2, presets={"ordinary": "colour = 1"})
        self.assertFalse(self.view.offer(broken, now_s=0.0))
        self.assertEqual(self.view.number, 1)
        self.assertEqual(self.view.preset.name, "ordinary")

    def test_large_presets_are_parsed_off_the_event_loop_and_applied_in_order(self):
        # Parsing 1,900 workspaces in the event loop would stall the node's streams.
        base = large_preset_text(1_900)
        presets = {"base": base, "ordinary": derived_text("ordinary")}
        offers = [
            threading.Thread(
                target=self.view.offer,
                args=(build_revision(number, presets=presets),),
                kwargs={"now_s": 0.0},
            )
            for number in (3, 2, 5, 4)
        ]
        started_s = time.monotonic()
        for offer in offers:
            offer.start()
        ticks = 0
        while self.view.number < 5 and time.monotonic() < started_s + 30:
            time.sleep(0.001)
            ticks += 1
        for offer in offers:
            offer.join()
        self.assertEqual(self.view.number, 5)
        self.assertGreater(ticks, 5)

    def test_a_subscriber_that_fails_does_not_keep_the_others_from_the_change(self):
        # Otherwise one failing subscriber would keep the node on the old configuration.
        seen = []
        self.view.subscribe(lambda revision, preset: 1 / 0)
        self.view.subscribe(lambda revision, preset: seen.append(revision.number))
        self.assertTrue(self.view.offer(build_revision(1), now_s=0.0))
        self.assertEqual(seen, [1])


class FollowRevisionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = KeyValueState()
        self.store = MemoryStore(state=self.state)
        self.log = RevisionLog(MemoryStore(state=self.state), firm=FIRM)
        self.view = ConfigurationView()
        self.stop = threading.Event()
        self.task = threading.Thread(
            target=follow_revisions,
            args=(self.store, self.view, self.stop),
            kwargs={"firm": FIRM, "clock": time.monotonic},
        )
        self.addCleanup(self.task.join, 5)
        self.addCleanup(self.stop.set)

    def accept(self) -> int:
        number = self.log.newest().number if self.log.newest() else 0
        action = "edit" if number else "create"
        outcome = self.log.propose(
            change(action, "base", preset_text("base")), base_number=number
        )
        return outcome.revision.number

    def wait_for(self, number: int, within_s: float = 2.0) -> None:
        deadline_s = time.monotonic() + within_s
        while self.view.number != number:
            self.assertLess(time.monotonic(), deadline_s, "not in force in time")
            time.sleep(0.005)

    def test_revisions_before_and_after_the_start_are_in_force_within_2_s(self):
        # A node must apply revisions stored before it started and while it watches.
        self.accept()
        self.task.start()
        self.wait_for(1)
        self.wait_for(self.accept())

    def test_a_node_that_starts_in_an_outage_follows_after_it(self):
        # A node that gave up at the start would have no configuration.
        self.store.faults.down = True
        self.task.start()
        self.accept()
        time.sleep(0.3)
        self.assertIsNone(self.view.preset)
        self.store.faults.down = False
        self.wait_for(1)

    def test_revisions_lost_in_a_compaction_during_the_watch_are_read(self):
        # The watch can't deliver compacted events, so the newest revision must be read.
        self.accept()
        self.task.start()
        self.wait_for(1)
        self.store.faults.down = True
        time.sleep(0.1)
        number = self.accept()
        self.state.put("/other", b"")
        self.state.compact()
        self.store.faults.down = False
        self.wait_for(number)
        self.wait_for(self.accept())

    def test_a_value_that_is_not_a_revision_is_skipped(self):
        # One corrupt value must not end the loop.
        self.accept()
        self.task.start()
        self.wait_for(1)
        self.state.put(self.log.key(2), b"damaged")
        self.state.put(self.log.key(3), encode_revision(build_revision(3)))
        self.wait_for(3)
