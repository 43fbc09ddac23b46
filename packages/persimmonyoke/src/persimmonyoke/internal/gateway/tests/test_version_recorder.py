"""Test what a host remembers of streams while the configuration changes."""

import unittest
from dataclasses import replace

from persimmonyoke.internal.dispatch.stream_versions import stream_life_s
from persimmonyoke.internal.gateway.version_recorder import StreamVersionRecorder
from persimmonyoke_testing.builders_fleet import configuration, engine, stream_route
from persimmonyoke_testing.builders_gateway import gateway_state
from persimmonyoke_testing.gated_store import GatedStore

NOW_S = 1_000.0


class ShorterTimeoutTest(unittest.TestCase):
    def test_a_stream_is_remembered_for_the_timeout_under_which_it_began(self):
        # A shorter timeout made hosts forget its version while clients could still
        # resume it.
        state = gateway_state(log=[])
        recorder = StreamVersionRecorder(state, GatedStore())
        state.configuration = configuration(routes=[stream_route()])
        life_s = stream_life_s(state.configuration)
        recorder._step(NOW_S)
        register = state.stream_versions
        register.note_begun("r1", engine("e1"), version="v1", now_s=NOW_S)
        shorter = replace(stream_route(), timeout_s=0.5)
        state.configuration = configuration(routes=[shorter])
        for now_s in (NOW_S + 0.1, NOW_S + life_s - 0.1):
            recorder._step(now_s)
            self.assertIsNotNone(register.find("llm", "r1"))
        recorder._step(NOW_S + life_s + 0.2)
        self.assertIsNone(register.find("llm", "r1"))


if __name__ == "__main__":
    unittest.main()
