"""Tests of tokens, the login limiter and proofs between processes."""

import asyncio
import unittest

import msgspec

from nutmeglift import auth
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import states
from nutmeglift_wire import session as sessions
from tests import utils
from tests import virtual_time


class AuthenticatorTest(unittest.TestCase):
    def setUp(self):
        self.authenticator = auth.Authenticator(utils.make_declaration())

    def test_known_tokens(self):
        header = f"Bearer {utils.TOKEN}"
        self.assertEqual(self.authenticator.account(header).id, "bank-a")
        self.assertEqual(self.authenticator.operator(header).id, "ana")

    def test_unknown_tokens_are_refused_without_being_shown(self):
        for header in (None, "", "Bearer ", "Basic x", "Bearer secret-guess"):
            for method in ("account", "operator"):
                with (
                    self.subTest(header=header, method=method),
                    self.assertRaises(errors.RefusedError) as caught,
                ):
                    getattr(self.authenticator, method)(header)
                self.assertEqual(
                    caught.exception.kind, errors.ErrorKind.UNAUTHENTICATED
                )
                self.assertNotIn("guess", caught.exception.detail)

    def test_revoked_token_is_refused_once_the_apply_is_in_force(self):
        async def scenario():
            cluster = utils.Cluster()
            await cluster.start(routers=3, runners=0)
            account = utils.make_account("bank-a").model_copy(
                update={"token_sha256": (auth.hash_token("other"),)}
            )
            await cluster.apply(
                utils.make_declaration(client_accounts=(account,))
            )
            await asyncio.sleep(2.0)
            found = [
                process.router.authenticator
                for process in cluster.router_by_vm.values()
            ]
            await cluster.stop()
            return found

        for authenticator in virtual_time.run(scenario()):
            with self.assertRaises(errors.RefusedError):
                authenticator.account(f"Bearer {utils.TOKEN}")
            self.assertEqual(authenticator.account("Bearer other").id, "bank-a")


class LoginLimiterTest(unittest.TestCase):
    def _fail(self, limiter, source, count, now=0.0):
        for _ in range(count):
            limiter.check(source, now)
            limiter.record_failure(source, now)

    def test_limit_is_per_source_and_expires(self):
        limiter = auth.LoginLimiter()
        self._fail(limiter, "10.0.0.1", auth.MAX_FAILED_LOGINS)
        limiter.check("10.0.0.2", 1.0)
        with self.assertRaises(errors.RefusedError) as caught:
            limiter.check("10.0.0.1", 1.0)
        self.assertEqual(
            caught.exception.kind, errors.ErrorKind.TOO_MANY_LOGINS
        )
        self.assertEqual(
            caught.exception.retry_after, auth.FAILED_LOGIN_WINDOW_SECONDS - 1
        )
        later = auth.FAILED_LOGIN_WINDOW_SECONDS
        self._fail(limiter, "10.0.0.1", auth.MAX_FAILED_LOGINS, later)
        with self.assertRaises(errors.RefusedError):
            limiter.check("10.0.0.1", later)

    def test_memory_is_bounded(self):
        limiter = auth.LoginLimiter()
        for n in range(2 * auth.MAX_SOURCE_COUNT):
            limiter.record_failure(f"{n}", 0.0)
        self.assertEqual(
            len(limiter._failures_by_source), auth.MAX_SOURCE_COUNT
        )


class ProofTest(unittest.TestCase):
    """Attacks on the handshake by a party without the shared key."""

    KEY = b"a key of the tests only"

    def _hello(self, vm, role=states.ProcessRole.ROUTER):
        return messages.Hello(
            messages.PROTOCOL_VERSION,
            role,
            ids.VmId(vm),
            ids.Incarnation(f"{vm}-1"),
            ids.FailureDomain("luzon-1"),
        )

    def test_reflected_proof_is_refused(self):
        """The attacker sends a dialer's Hello, with its nonce, back to it."""

        async def scenario():
            cluster = utils.Cluster()
            # The victim also accepts connections under the same identity.
            own = self._hello("entry-1")
            clock = cluster.add_router("entry-7").clock
            accepted = []

            async def accept(link):
                try:
                    await sessions.shake_hands_as_listener(
                        link, self.KEY, lambda _: own
                    )
                    accepted.append(True)
                except errors.NutmegError:
                    accepted.append(False)
                await link.close()

            cluster.network.listen("10.8.0.2:1", accept, clock)
            victim = cluster.network
            attacker = []

            async def reflect(link):
                """Obtains the proof to present from the victim itself."""
                first = await link.receive()
                other = await victim.connect("10.8.0.9:1", "10.8.0.2:1", clock)
                await other.send(first)
                try:
                    await link.send(await other.receive())
                except errors.NutmegError:
                    await link.close()
                attacker.append(True)

            cluster.network.listen("10.8.0.3:1", reflect, clock)
            link = await victim.connect("10.8.0.2:2", "10.8.0.3:1", clock)
            try:
                peer = await sessions.shake_hands_as_dialer(link, self.KEY, own)
            except errors.NutmegError as error:
                peer = error
            await cluster.stop()
            return attacker, peer

        attacker, peer = virtual_time.run(scenario())
        self.assertEqual(attacker, [True])
        self.assertIsInstance(peer, errors.NutmegError)

    def test_relayed_challenge_is_refused(self):
        """The attacker relays one process's challenge to another one."""

        async def scenario():
            cluster = utils.Cluster()
            clock = cluster.add_router("entry-7").clock
            accepted = []

            def acceptor(vm):
                async def accept(link):
                    try:
                        peer = await sessions.shake_hands_as_listener(
                            link, self.KEY, lambda _: self._hello(vm)
                        )
                        accepted.append(peer.vm)
                    except errors.NutmegError:
                        await link.close()

                return accept

            for vm, address in (("one", "10.8.0.1:1"), ("two", "10.8.0.2:1")):
                cluster.network.listen(address, acceptor(vm), clock)
            attacker = "10.8.0.9:1"
            to_two = await cluster.network.connect(
                attacker, "10.8.0.2:1", clock
            )
            await to_two.send(self._hello("one"))
            challenge = await to_two.receive()
            to_one = await cluster.network.connect(
                attacker, "10.8.0.1:1", clock
            )
            await to_one.send(challenge)
            answer = await to_one.receive()
            await to_two.send(answer)
            await asyncio.sleep(1.0)
            await cluster.stop()
            return accepted

        self.assertEqual(virtual_time.run(scenario()), [])

    def test_proof_covers_every_field_of_both_hellos(self):
        one, two = self._hello("entry-1"), self._hello("entry-2")
        end = sessions.LinkEnd.DIALER
        proof = sessions.make_proof(self.KEY, end, one, two)
        replace = msgspec.structs.replace
        changed_arguments = {
            "key": (b"other", end, one, two),
            "end": (self.KEY, sessions.LinkEnd.LISTENER, one, two),
            "turned": (self.KEY, end, two, one),
        }
        for field, value in {
            "vm": ids.VmId("x"),
            "role": states.ProcessRole.AGENT,
            "incarnation": ids.Incarnation("x"),
            "nonce": b"x",
        }.items():
            changed = {field: value}
            changed_arguments[f"own {field}"] = (
                self.KEY,
                end,
                replace(one, **changed),
                two,
            )
            changed_arguments[f"peer {field}"] = (
                self.KEY,
                end,
                one,
                replace(two, **changed),
            )
        for name, arguments in changed_arguments.items():
            with self.subTest(name):
                self.assertNotEqual(sessions.make_proof(*arguments), proof)


if __name__ == "__main__":
    unittest.main()
