"""End-to-end tests of a deployment through its interfaces for callers and operators."""

import unittest
import uuid

import gevent
import openai

from persimmonyoke.internal.invariants import MONITOR
from persimmonyoke_testing.builders_deployment import CallerStream, call, call_service
from persimmonyoke_testing.deployment import Deployment
from persimmonyoke_testing.engine import expected_text
from persimmonyoke_testing.firms import FIRMS

CHAT_PROMPT = "<|user|>\nhello\n<|assistant|>\n"
PROPAGATION_S = 2.0


class WholePathTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.deployment = Deployment("kente", nodes=3, controllers=1)
        cls.deployment.start()
        cls.addClassCleanup(cls.deployment.stop)
        cls.firm = cls.deployment.firm
        cls.urls = [node.callers_url for node in cls.deployment.entries]

    def setUp(self):
        # Other tests in the same process violate invariants on purpose.
        self.violations = dict(MONITOR.violations)

    def tearDown(self):
        self.assertEqual(dict(MONITOR.violations), self.violations)

    def client(self, index=0):
        client = openai.OpenAI(
            api_key=self.firm.workspace_key,
            base_url=f"{self.urls[index]}/v1",
            max_retries=0,
        )
        self.addCleanup(client.close)
        return client

    def test_an_openai_client_lists_completes_chats_and_streams(self):
        client = self.client()
        self.assertIn(self.firm.model, [model.id for model in client.models.list()])
        completion = client.completions.create(
            model=self.firm.model, prompt="one two", max_tokens=7
        )
        self.assertEqual(completion.choices[0].text, expected_text("one two", 7))
        messages = [{"role": "user", "content": "hello"}]
        chat = client.chat.completions.create(
            model=self.firm.model, messages=messages, max_completion_tokens=7
        )
        self.assertEqual(chat.choices[0].message.content, expected_text(CHAT_PROMPT, 7))
        stream = client.chat.completions.create(
            model=self.firm.model,
            messages=messages,
            max_completion_tokens=7,
            stream=True,
        )
        parts = [chunk.choices[0].delta.content or "" for chunk in stream]
        self.assertEqual("".join(parts), expected_text(CHAT_PROMPT, 7))

    def test_a_call_repeated_at_another_host_runs_once(self):
        # A second run of a registration would bill the customer twice.
        key = str(uuid.uuid4())
        body = {"domain": "shop.gh"}
        first = call_service(self.urls[0], self.firm, key=key, body=body)
        second = call_service(self.urls[1], self.firm, key=key, body=body)
        self.assertEqual((first.status, second.status), (201, 201))
        self.assertEqual(first.body, second.body)
        record = self.deployment.platform.service_record
        self.assertEqual(record.runs_by_key[key], 1)
        reused = call_service(self.urls[2], self.firm, key=key, body={"domain": "x"})
        self.assertEqual(reused.status, 422)
        self.assertEqual(reused.json["error"]["ran"], "not_run")
        self.assertEqual(record.runs_by_key[key], 1)

    def test_calls_with_one_key_at_all_hosts_at_once_run_once(self):
        key = str(uuid.uuid4())
        calls = [
            gevent.spawn(call_service, url, self.firm, key=key, body={"domain": "y"})
            for url in self.urls * 2
        ]
        gevent.joinall(calls, raise_error=True)
        statuses = {item.value.status for item in calls}
        self.assertIn(201, statuses)
        self.assertLessEqual(statuses, {201, 409})
        record = self.deployment.platform.service_record
        self.assertEqual(record.runs_by_key[key], 1)

    def test_presets_are_created_edited_and_chosen_in_force_on_all_nodes(self):
        # A node with an old preset would admit and route by different rules.
        base = self.deployment.entries[0].operators_url
        text = 'name = "storm"\nbase = "base"\n'
        steps = (
            {"action": "create", "preset": "storm", "text": text},
            {
                "action": "edit",
                "preset": "storm",
                "text": f"{text}[admission]\nmax_queue = 99\n",
            },
            {"action": "choose", "preset": "storm"},
        )
        for step in steps:
            number = self.deployment.entries[0].view.number
            body = {**step, "reason": "test", "base_number": number}
            answer = call(
                "POST",
                f"{base}/operators/changes",
                key=self.firm.operator_token,
                body=body,
            )
            self.assertEqual(answer.status, 200, answer.body)
        nodes = (*self.deployment.entries, *self.deployment.controllers)
        self.deployment.wait_until(
            lambda: all(
                node.view.preset.name == "storm"
                and node.view.preset.admission.max_queue == 99
                for node in nodes
            ),
            timeout_s=PROPAGATION_S,
        )
        stale = call(
            "POST",
            f"{base}/operators/changes",
            key=self.firm.operator_token,
            body={**steps[2], "reason": "stale", "base_number": 1},
        )
        self.assertEqual(stale.status, 409)

    def test_authority_orders_and_presets_are_in_the_audit(self):
        # Operators must be able to find out who made an engine unavailable, and why.
        base = self.deployment.entries[1].operators_url

        def kinds():
            answer = call(
                "GET", f"{base}/operators/audit", key=self.firm.operator_token
            )
            self.assertEqual(answer.json["missing_sources"], [])
            return {record["kind"] for record in answer.json["records"]}

        self.deployment.wait_until(
            lambda: {"authority", "order", "preset_create"} <= kinds()
        )

    def test_metrics_and_addresses_are_served(self):
        stream = CallerStream(self.urls[0], self.firm, prompt="m", max_tokens=3)
        stream.read()
        page = call("GET", f"{self.urls[0]}/metrics", key="").body.decode()
        for name in (
            "store_calls_total",
            "offered_output_tokens_total",
            "waiting_requests",
            "connected_peers_hosts",
        ):
            self.assertIn(f"persimmonyoke_{name}", page)
        answer = call(
            "GET", f"{self.urls[0]}/v1/addresses", key=self.firm.workspace_key
        )
        offered = {f"http://{address}" for address in answer.json["addresses"]}
        self.assertEqual(offered, set(self.urls))

    def test_the_offered_work_reaches_the_controller(self):
        # Without it the controller can't detect a change of the mix.
        controller = self.deployment.controllers[0]

        def has_arrived():
            CallerStream(self.urls[0], self.firm, prompt="o", max_tokens=2).read()
            totals = controller.offered.totals(self.firm.engine_pool)
            return totals.output_tokens > 0 and totals.prefill_tokens > 0

        self.deployment.wait_until(has_arrived, timeout_s=10.0)

    def test_a_drained_engine_gets_no_new_work(self):
        # New work would have to wait for the role change or delay it.
        node, controller = self.deployment.entries[0], self.deployment.controllers[0]
        drained = self.deployment.platform.engines[0].name
        running = controller.pools[self.firm.engine_pool]
        original = running.planner.draining_engines
        running.planner.draining_engines = lambda now_s: (drained,)
        try:
            controller._announce(self.firm.engine_pool)
            self.deployment.wait_until(lambda: node.drains.draining(0.0))
            record = self.deployment.platform.engines[0].record
            before = len(record.requests)
            for number in range(12):
                stream = CallerStream(
                    self.urls[0], self.firm, prompt=f"p {number}", max_tokens=1
                )
                self.assertTrue(stream.read())
            self.assertEqual(len(record.requests), before)
        finally:
            running.planner.draining_engines = original
            controller._announce(self.firm.engine_pool)


class ModelTest(unittest.TestCase):
    def test_a_model_that_is_added_to_the_preset_is_loaded_and_served(self):
        # Entry nodes that do not refresh the engines' models would refuse it forever.
        with Deployment("kente", nodes=1, controllers=1, time_scale=0.1) as deployment:
            node, firm = deployment.entries[0], deployment.firm
            old = '{ name = "kente-assist"'
            text = firm.presets()["base"]
            self.assertIn(old, text)
            text = text.replace(old, f'{{ name = "kente-lite", version = "1" }}, {old}')
            answer = call(
                "POST",
                f"{node.operators_url}/operators/changes",
                key=firm.operator_token,
                body={
                    "action": "edit",
                    "preset": "base",
                    "text": text,
                    "reason": "new model",
                    "base_number": 1,
                },
            )
            self.assertEqual(answer.status, 200, answer.body)
            body = {"model": "kente-lite", "prompt": "x", "max_tokens": 3}

            def is_served():
                answer = call(
                    "POST",
                    f"{node.callers_url}/v1/completions",
                    key=firm.workspace_key,
                    body=body,
                    headers={"Content-Type": "application/json"},
                )
                return answer.status == 200

            deployment.wait_until(is_served, timeout_s=15.0)


class FirmsTest(unittest.TestCase):
    def test_both_firms_serve_a_stream_and_their_service(self):
        for name, firm in FIRMS.items():
            with self.subTest(name), Deployment(name, nodes=1) as deployment:
                url = deployment.entries[0].callers_url
                stream = CallerStream(url, firm, prompt="a b", max_tokens=5)
                self.assertEqual(stream.read(), expected_text("a b", 5))
                answer = call_service(url, firm, key=str(uuid.uuid4()), body={})
                self.assertEqual(answer.status, 201)
