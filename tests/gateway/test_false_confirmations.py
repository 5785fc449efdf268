"""Ways to confirm a configuration that is not the store's newest."""

import asyncio
import base64
import itertools
import json
import unittest
from unittest import mock

from nutmeglift import eras
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift_gateway import admission
from nutmeglift_gateway import freshness
from nutmeglift_gateway import peer_messages
from nutmeglift_gateway import peer_state
from nutmeglift_gateway import settings
from nutmeglift_platform import names
from tests.gateway import platform_routers
from tests.gateway import rig
from tests.gateway import virtual_time_case

APPLY_SECONDS = 2.0
"""The operators' bound for a change to take effect."""
REVOCATION_SECONDS = settings.Bounds().revocation_seconds
SETTLE_SECONDS = 3.0
PROBE_SECONDS = 0.05
HARMFUL = (errors.ErrorKind.UNKNOWN_ROUTE, errors.ErrorKind.UNAUTHENTICATED)
KEPT, REVOKED, ADDED = "key-1", "key-2", "key-3"


def make_version(version, keys=(KEPT, ADDED), **route_changes):
    """Returns a version with a route and a key more, and a key less."""
    fields = platform_routers.make_configuration(version, keys)
    (route,) = fields["routes"]
    added = {"name": "added", "prefix": "/added/"}
    fields["routes"].append(route | added | route_changes)
    return fields


def respond(status, fields):
    raw = json.dumps(fields).encode()
    head = b"HTTP/1.1 %d X\r\nstore-era: 1\r\ncontent-length: %d\r\n\r\n"
    return head % (status, len(raw)) + raw


class FalseConfirmationTest(virtual_time_case.VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.loop = asyncio.get_running_loop()

    async def start(self, router_names=("one",)):
        deployment = platform_routers.PlatformDeployment()
        self.addAsyncCleanup(deployment.stop)
        deployment.set_era(1)
        await deployment.start(router_names, ["stays"])
        await deployment.wait_for_planner()
        await asyncio.sleep(SETTLE_SECONDS)
        for router in deployment.routers:
            self.assertEqual(router.board.catalog.generation, 7)
        return deployment

    async def put(self, deployment, fields):
        """Writes a configuration; returns when it was acknowledged."""
        await deployment.put(names.CONFIG_KEY, platform_routers.encode(fields))
        return self.loop.time()

    def admit(self, router, path="/status/1", key=KEPT):
        return admission.admit(
            router.board,
            names.HEADERS,
            rig.make_request(path, x_api_key=key.encode()),
            freshness.boot_clock(),
            rig.make_rng(),
        )

    def find_false_confirmation(self, router, since):
        """Finds a version before the newest that is confirmed as newest."""
        if router.board.catalog.generation == 7:
            confirmed_for = router.board.freshness.confirmed_at - since
            if confirmed_for > 0:
                yield "generation 7 confirmed"

    def find_refusal(self, router, since):
        """Finds refusals for good of what the newest version allows."""
        if self.loop.time() < since + APPLY_SECONDS:
            return
        for path, key in (("/added/1", KEPT), ("/status/1", ADDED)):
            found = self.admit(router, path, key)
            if isinstance(found, admission.Refused) and found.kind in HARMFUL:
                yield found.kind.value

    def find_revoked_key(self, router, since):
        if self.loop.time() >= since + REVOCATION_SECONDS and isinstance(
            self.admit(router, key=REVOKED), admission.Admitted
        ):
            yield "revoked key accepted"

    async def check(self, routers, since, *rules, seconds=8.0):
        """Checks that no router breaks rules.

        Args:
            routers: the routers.
            since: when the newest version was acknowledged.
            *rules: generators of what a router does against the rules.
            seconds: how long to check for.
        """
        first_seen = {}
        end = self.loop.time() + seconds
        while self.loop.time() < end:
            for router in routers:
                for rule in rules:
                    for problem in rule(router, since):
                        first_seen.setdefault(
                            (router.vm, problem),
                            round(self.loop.time() - since, 2),
                        )
            await asyncio.sleep(PROBE_SECONDS)
        self.assertEqual(first_seen, {})

    async def _list_forged(self, forge):
        """Lets a router list a store whose configuration is answered oddly.

        Only listings are answered, so that nothing else can tell the router
        of the newer version.

        Args:
            forge: returns the items of a listing from the true ones.
        """
        deployment = await self.start()
        (router,) = deployment.routers

        answers = itertools.cycle((respond(410, {}), b""))

        def fault(request):
            target = request.head.split(" ")[1]
            if target.startswith("/v1/kv-watch"):
                return next(answers)
            if not target.startswith("/v1/kv-range"):
                return respond(503, {})
            entries = deployment.memory._entry_by_key.values()
            items = [
                {
                    "key": entry.key,
                    "value": base64.b64encode(entry.value).decode(),
                    "revision": entry.mod_revision,
                    "lease": entry.lease,
                }
                for entry in entries
            ]
            return respond(
                200,
                {
                    "items": forge(items),
                    "more_pages": False,
                    "store_revision": deployment.memory._revision,
                },
            )

        router.store.fault = fault
        acknowledged_at = await self.put(deployment, make_version(8))
        router.store.server.reset_connections()
        await self.check(
            [router],
            acknowledged_at,
            self.find_false_confirmation,
            self.find_refusal,
            self.find_revoked_key,
        )
        await deployment.stop()

    async def test_a_listing_without_the_configuration_confirms_nothing(self):
        def leave_out(items):
            return [i for i in items if i["key"] != names.CONFIG_KEY]

        def forge_field(name, value):
            return lambda items: [
                item | {name: value}
                if item["key"] == names.CONFIG_KEY
                else item
                for item in items
            ]

        for name, forge in (
            ("left out", leave_out),
            ("a revision as text", forge_field("revision", "61")),
            ("a value that is not base64", forge_field("value", "???")),
            ("a revision of 0", forge_field("revision", 0)),
        ):
            with self.subTest(name):
                await self._list_forged(forge)

    async def test_an_entry_that_is_not_applied_confirms_nothing(self):
        with mock.patch.object(
            platform_routers.schema.PlatformSchema,
            "decode_keys",
            side_effect=RuntimeError,
        ):
            unreadable = make_version(8, kind="batch")
            value = base64.b64encode(platform_routers.encode(unreadable))

            def forge(items):
                return [
                    item | {"value": value.decode()}
                    if item["key"] == names.CONFIG_KEY
                    else item
                    for item in items
                ]

            await self._list_forged(forge)

    async def test_what_a_version_that_is_not_taken_adds_is_not_refused(self):
        unknown = make_version(8)
        unknown["routes"][0]["kind"] = "batch"
        for name, fields in (
            ("unreadable", unknown),
            ("the same number", make_version(7)),
            ("a lower number", make_version(6)),
        ):
            with self.subTest(name):
                deployment = await self.start(("one", "two"))
                acknowledged_at = await self.put(deployment, fields)
                await self.check(
                    deployment.routers,
                    acknowledged_at,
                    self.find_refusal,
                    self.find_revoked_key,
                )
                await deployment.stop()

    async def test_an_unreadable_copy_does_not_hide_the_stores_entry(self):
        deployment = await self.start()
        (router,) = deployment.routers
        found = await deployment.memory.snapshot("")
        revision = eras.combine(ids.Era(1), found.revision + 1)
        link = peer_state.PeerState(router.board, router.reader, "one")
        copy = peer_messages.CatalogCopy(
            peer_messages.EntryRow(
                names.CONFIG_KEY, peer_messages.compress(b"{"), revision
            )
        )
        link.handle_message(copy, self.loop.time(), freshness.boot_clock())
        acknowledged_at = await self.put(deployment, make_version(8))
        stored = await deployment.memory.get(names.CONFIG_KEY)
        self.assertEqual(stored.mod_revision, eras.number_of(revision))
        await self.check(
            [router],
            acknowledged_at,
            self.find_false_confirmation,
            self.find_refusal,
        )
        self.assertEqual(router.board.catalog.generation, 8)

    async def test_an_earlier_answer_is_not_taken_for_the_next_calls(self):
        deployment = await self.start()
        (router,) = deployment.routers
        stand_in = router.store
        stand_in.silent_watches = True
        respond_to = stand_in.server.script
        last = []

        async def script(request, writer, number):
            if not request.head.startswith("POST /v1/kv-txn"):
                await respond_to(request, writer, number)
                return
            if last:
                # The extra answer arrives where the next one is expected.
                writer.write(last.pop())
            body = json.loads(request.body)
            status, fields = await stand_in._txn(body)
            raw = respond(status, fields)
            is_confirmation = not body["puts"] and not body["remove"]
            if status == 200 and is_confirmation and not acknowledged:
                last[:] = [raw]
            writer.write(raw)

        acknowledged = []
        stand_in.server.script = script
        stand_in.server.reset_connections()
        for _ in range(3):
            await asyncio.sleep(SETTLE_SECONDS)
        acknowledged.append(await self.put(deployment, make_version(8)))
        await self.check(
            [router],
            acknowledged[0],
            self.find_false_confirmation,
            self.find_refusal,
            self.find_revoked_key,
        )

    async def _drill(self, lost, written, router_names=("one", "two")):
        """Loses a version, whose revision another one gets at once."""
        deployment = await self.start(router_names)
        taken = deployment.memory.take_copy()
        await self.put(deployment, lost)
        lost_entry = await deployment.memory.get(names.CONFIG_KEY)
        await asyncio.sleep(SETTLE_SECONDS)
        deployment.leave()
        await asyncio.sleep(0.2)
        deployment.come_back(taken)
        acknowledged_at = await self.put(deployment, written)
        entry = await deployment.memory.get(names.CONFIG_KEY)
        self.assertEqual(entry.mod_revision, lost_entry.mod_revision)
        return deployment, acknowledged_at

    async def test_a_revision_that_is_given_out_again_confirms_nothing(self):
        unreadable = make_version(8)
        unreadable["routes"][0]["kind"] = "batch"
        for name, lost in (
            ("in force", platform_routers.make_configuration(8)),
            ("unreadable", unreadable),
        ):
            with self.subTest(name):
                deployment, acknowledged_at = await self._drill(
                    lost, make_version(9)
                )
                await self.check(
                    deployment.routers,
                    acknowledged_at,
                    self.find_refusal,
                    self.find_revoked_key,
                )
                for router in deployment.routers:
                    self.assertEqual(router.board.catalog.generation, 9)
                await deployment.stop()

    async def test_an_announcement_that_was_lost_is_not_read_for_ever(self):
        deployment = await self.start(("one", "two"))
        taken = deployment.memory.take_copy()
        await self.put(deployment, make_version(8))
        for _ in range(200):
            await deployment.put_server("stays")
        stored = await deployment.memory.snapshot("")
        revision = eras.combine(ids.Era(1), stored.revision)
        deployment.leave()
        for router in deployment.routers:
            router.reader.view.catalog.announce(revision)
        await asyncio.sleep(0.2)
        deployment.come_back(taken)
        await self.put(deployment, make_version(9))
        await asyncio.sleep(SETTLE_SECONDS)
        for router in deployment.routers:
            router.store.server.requests.clear()
        await asyncio.sleep(10.0)
        for router in deployment.routers:
            calls = [
                request
                for request in router.store.server.requests
                if request.head.startswith("POST /v1/kv-txn")
            ]
            # Two a second: confirmations and what the planner writes.
            self.assertLessEqual(len(calls), 20, router.vm)

    async def test_a_peers_word_on_other_content_confirms_nothing(self):
        for name, version in (("the same number", 8), ("a lower number", 7)):
            with self.subTest(name):
                deployment = await self.start(("one",))
                (cut,) = deployment.routers
                taken = deployment.memory.take_copy()
                keys = (KEPT, REVOKED)
                await self.put(
                    deployment, platform_routers.make_configuration(8, keys)
                )
                await asyncio.sleep(SETTLE_SECONDS)
                self.assertEqual(cut.board.catalog.generation, 8)
                deployment.leave()
                await asyncio.sleep(0.2)
                deployment.come_back(taken)
                cut.store.away = True
                two = await deployment.add_router("two")
                acknowledged_at = await self.put(
                    deployment, make_version(version)
                )
                # The peers reach each other, as they did before.
                await asyncio.sleep(0.5)
                cut.board.router_by_name = dict(two.board.router_by_name)
                await self.check([cut], acknowledged_at, self.find_revoked_key)
                await deployment.stop()


if __name__ == "__main__":
    unittest.main()
