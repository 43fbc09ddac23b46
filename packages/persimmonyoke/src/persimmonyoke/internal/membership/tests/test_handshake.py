"""Tests of mutual authentication."""

import unittest
from dataclasses import replace

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.membership.handshake import Authenticator, NodeIdentity
from persimmonyoke.internal.membership.messages import Proof
from persimmonyoke_testing.builders_membership import SHARED_KEY


def authenticator(host, key=SHARED_KEY):
    return Authenticator(NodeIdentity(host, "i1"), shared_key=key)


class HandshakeTest(unittest.TestCase):
    def setUp(self):
        self.connecting = authenticator("a")
        self.listening = authenticator("b")
        self.hello = self.connecting.hello()
        self.challenge = self.listening.challenge(self.hello)
        self.proof = self.connecting.proof(self.hello, self.challenge)

    def test_hosts_with_the_same_key_accept_each_other(self):
        self.listening.verify(self.hello, self.challenge, self.proof)

    def test_a_wrong_key_is_refused_by_both_sides(self):
        wrong = authenticator("b", b"another key of enough bytes")
        with self.assertRaises(ProtocolError):
            self.connecting.proof(self.hello, wrong.challenge(self.hello))
        with self.assertRaises(ProtocolError):
            wrong.verify(self.hello, self.challenge, self.proof)

    def test_a_replayed_hello_and_proof_are_refused(self):
        # An eavesdropper must not get a link by replaying a recorded handshake.
        second = self.listening.challenge(self.hello)
        with self.assertRaises(ProtocolError):
            self.listening.verify(self.hello, second, self.proof)

    def test_a_replayed_challenge_is_refused(self):
        # Replaying a recorded challenge does not prove possession of the key.
        with self.assertRaises(ProtocolError):
            self.connecting.proof(self.connecting.hello(), self.challenge)

    def test_a_reflected_proof_is_refused(self):
        # An attacker without the key can return the proof that it has received.
        with self.assertRaises(ProtocolError):
            self.listening.verify(
                self.hello, self.challenge, Proof(self.challenge.proof)
            )

    def test_a_host_refuses_a_peer_that_uses_its_own_name(self):
        with self.assertRaises(ProtocolError):
            self.listening.challenge(authenticator("b").hello())

    def test_a_changed_address_breaks_the_proof(self):
        # Otherwise a man in the middle could direct callers to itself.
        changed = replace(self.challenge, callers_address="10.6.6.6")
        with self.assertRaises(ProtocolError):
            self.connecting.proof(self.hello, changed)
