"""Test large bodies for paths without a route, which are not kept."""

import unittest

from tests.gateway.harness import Fleet

BODY = b'x' * 200_000


class UnroutedBodiesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(1)
        self.gateway = self.fleet.gateways[0]

    async def test_path_without_route_is_denied_as_without_a_body(
        self,
    ) -> None:
        for body in (b'', BODY):
            answer = await self.fleet.call(
                self.gateway, 'a', '/nowhere/x', body
            )
            self.assertEqual(
                (answer.status, answer.body), (404, b'no such route\n')
            )

    async def test_path_with_route_gets_the_whole_body(self) -> None:
        answer = await self.fleet.call(self.gateway, 'b', '/tool/x', BODY)
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.fleet.server.requests[-1].body, BODY)

    # Guards against a request that runs without its body, since its route
    # became known after the body was dropped.
    async def test_route_that_comes_with_the_body_does_not_run_it(
        self,
    ) -> None:
        # Known to the handler, and not yet as the request's head arrived.
        self.gateway.caller_listener.state.has_route = lambda *_: False
        answer = await self.fleet.call(self.gateway, 'c', '/tool/x', BODY)
        self.assertEqual(answer.status, 503)
        self.assertIn('retry-after', answer.headers)
        self.assertEqual(self.fleet.server.requests, [])
