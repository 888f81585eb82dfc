"""Test what the HTTP client makes of answers that break off."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import unittest

from result import Err
from result import Ok
from result import Result

from jackdawfield.drivers.http import HttpAnswer
from jackdawfield.drivers.http import HttpClient
from jackdawfield.drivers.http import HttpError
from jackdawfield.drivers.http import HttpFault
from tests.fleet import free_port
from tests.gateway.scripted_server import ReceivedRequest
from tests.gateway.scripted_server import ScriptedServer

END_DELAY_S = 0.05
HEAD = b'HTTP/1.1 200 OK\r\n'
End = Callable[[ReceivedRequest], None]


def close(received: ReceivedRequest) -> None:
    received.writer.close()


def reset(received: ReceivedRequest) -> None:
    received.reset()


class HttpClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.client = HttpClient('test')
        self.addCleanup(self.client.close)

    async def request(
        self, port: int, on_chunk: Callable[[bytes], None] | None = None
    ) -> Result[HttpAnswer, HttpError]:
        url = f'http://127.0.0.1:{port}/'
        return await self.client.request('POST', url, b'{}', on_chunk=on_chunk)

    async def answer(
        self, data: bytes, end: End
    ) -> Result[HttpAnswer, HttpError]:
        """Return the client's result of bytes after which the server ends."""
        server = await ScriptedServer(script_of(data, end)).start()
        self.addAsyncCleanup(server.stop)
        return await self.request(server.port)

    def assert_lost(self, result: Result[HttpAnswer, HttpError]) -> None:
        assert isinstance(result, Err), result
        self.assertIs(result.err_value.fault, HttpFault.LOST)
        # It is known at once, and not by the end of the caller's patience.
        self.assertNotIn('Timeout', result.err_value.reason)

    # Guards against a status that HTTP does not have, taken as an answer.
    async def test_no_such_status_is_an_answer(self) -> None:
        for status in (b'000', b'099', b'600', b'999', b'2000'):
            with self.subTest(status):
                head = b'HTTP/1.1 %s Odd\r\nContent-Length: 2\r\n\r\nok'
                self.assert_lost(await self.answer(head % status, close))
                chunks: list[bytes] = []
                script = script_of(head % status, close)
                server = await ScriptedServer(script).start()
                self.addAsyncCleanup(server.stop)
                self.assert_lost(
                    await self.request(server.port, chunks.append)
                )
                self.assertEqual(chunks, [])

    async def test_whole_answer_is_returned(self) -> None:
        data = HEAD + b'Content-Length: 2\r\n\r\nok'
        result = await self.answer(data, close)
        assert isinstance(result, Ok), result
        self.assertEqual(result.ok_value.body, b'ok')

    # Guards against calls that wait for their deadline once their server has
    # ended.
    async def test_answer_shorter_than_announced_is_lost(self) -> None:
        data = HEAD + b'Content-Length: 3\r\n\r\nok'
        for end in (close, reset):
            self.assert_lost(await self.answer(data, end))

    async def test_chunked_answer_without_its_end_is_lost(self) -> None:
        data = HEAD + b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n'
        for end in (close, reset):
            self.assert_lost(await self.answer(data, end))

    async def test_answer_that_ends_within_its_head_is_lost(self) -> None:
        for end in (close, reset):
            self.assert_lost(await self.answer(HEAD, end))

    # Guards against half an answer that counts as a whole one: a server that
    # crashes closes its connections like one that has ended its answer.
    async def test_head_that_stops_at_any_byte_is_lost(self) -> None:
        whole = HEAD + b'X-A: b\r\nContent-Length: 0\r\n\r\n'
        for size in range(len(whole)):
            with self.subTest(size=size):
                self.assert_lost(await self.answer(whole[:size], close))

    async def test_answer_without_length_is_lost(self) -> None:
        for end in (close, reset):
            self.assert_lost(await self.answer(HEAD + b'\r\nok', end))

    async def test_stream_without_length_ends_with_its_connection(
        self,
    ) -> None:
        data = HEAD + b'\r\ndata: [DONE]\n\n'
        server = await ScriptedServer(script_of(data, close)).start()
        self.addAsyncCleanup(server.stop)
        chunks: list[bytes] = []
        url = f'http://127.0.0.1:{server.port}/'
        result = await self.client.request(
            'POST', url, b'{}', on_chunk=chunks.append
        )
        self.assertIsInstance(result, Ok)
        self.assertEqual(chunks, [b'data: [DONE]\n\n'])

    async def test_refused_connection_is_not_sent(self) -> None:
        result = await self.request(free_port())
        assert isinstance(result, Err), result
        self.assertIs(result.err_value.fault, HttpFault.NOT_SENT)


def script_of(
    data: bytes, end: End
) -> Callable[[ReceivedRequest], Awaitable[None]]:
    """Return the script of a server that sends bytes and ends."""

    async def script(received: ReceivedRequest) -> None:
        received.writer.write(data)
        await received.writer.drain()
        # The client reads the bytes before the end comes.
        await asyncio.sleep(END_DELAY_S)
        end(received)

    return script
