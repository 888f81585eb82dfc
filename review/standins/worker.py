"""Stand in for a worker: a model engine or a plain service.

Runs as a process of its own: worker.py IP PORT ID KIND [NAME=VALUE ...]. It
prints one line of JSON for each request that it ran or did not run.
"""

import asyncio
from contextlib import suppress
import json
import os
import secrets
import sys
import time

from standins.http_wire import encode
from standins.http_wire import Message
from standins.http_wire import read_request

PREFIX = 'X-Jackdawfield-'
REQUEST_ID = 'x-jackdawfield-request-id'
# A request with this in its body crashes the worker that begins to run it.
POISON = b'POISON'


class Worker:
    """Runs requests and tells what it ran.

    Options: `first_s` until the first event, `gap_s` between events, `events`
    a turn, `slots` for requests at once, `queue` for those that wait for one,
    `framing` of streams (chunked or length), `work_s` of a plain
    call, `fail_each`, so that each such call answers with `fail_status` after
    it has run, and `endless`, the number of the first streams that are bytes
    without end, in chunks of one byte, until the caller closes.
    """

    def __init__(self, worker_id: str, kind: str, options: dict) -> None:
        self.worker_id = worker_id
        self.kind = kind
        self.options = options
        self.calls = 0
        self.lost = 0
        self.waiting = 0
        slots = int(options.get('slots', 1000))
        self.slots = asyncio.Semaphore(slots)

    def number(self, name: str, default: float) -> float:
        """Return an option as a number."""
        return float(self.options.get(name, default))

    def tell(self, event: str, request: Message, **more: object) -> None:
        """Print what happened to a request."""
        line = {
            't': round(time.time(), 3),
            'worker': self.worker_id,
            'event': event,
            'id': request.get(REQUEST_ID),
            'line': request.start,
            **more,
        }
        print(json.dumps(line), flush=True)

    async def serve(self, reader, writer) -> None:
        """Serve the requests of one channel, one after another."""
        try:
            while True:
                request = await read_request(reader)
                await self._answer(request, reader, writer)
                await writer.drain()
        except asyncio.IncompleteReadError:
            pass
        except ConnectionError:
            self.lost += 1
        finally:
            with suppress(OSError):
                writer.close()

    async def _answer(self, request: Message, reader, writer) -> None:
        request_id = request.get(REQUEST_ID)
        expected = request.get('x-jackdawfield-expect-instance')
        if not request_id:
            self._refuse(request, writer, '400 Bad Request')
            return
        if expected and expected != self.worker_id:
            self._refuse(request, writer, '421 Misdirected Request')
            return
        if self.slots.locked() and self.waiting >= self.number('queue', 36):
            self._refuse(request, writer, '503 Service Unavailable')
            return
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            await self._run(request, request_id, reader, writer)
        finally:
            self.slots.release()

    async def _run(self, request, request_id, reader, writer) -> None:
        if reader.at_eof():
            raise ConnectionError
        self.tell(
            'run',
            request,
            previous=request.get('x-jackdawfield-previous-turn'),
            body=request.body.decode('latin-1')[-200:],
            size=len(request.body),
        )
        if POISON in request.body:
            os._exit(1)
        head = [
            (f'{PREFIX}Request-Id', request_id),
            (f'{PREFIX}Server-Stamp', secrets.token_hex(8)),
        ]
        if self.kind == 'engine':
            await self._stream(request, head, reader, writer)
        else:
            await self._call(request, head, reader, writer)

    def _refuse(self, request: Message, writer, status: str) -> None:
        self.tell('refused', request, status=status)
        head = [
            (f'{PREFIX}Request-Id', request.get(REQUEST_ID)),
            (f'{PREFIX}Not-Executed', '1'),
            (f'{PREFIX}Instance-Id', self.worker_id),
        ]
        writer.write(encode(f'HTTP/1.1 {status}', head, b''))

    async def _stream(self, request, head, reader, writer) -> None:
        count = int(self.number('events', 6))
        limit = request.get('x-jackdawfield-token-usage', '0,0').split(',')[1]
        chunk = int(self.number('chunk', 9))
        if int(limit):
            count = min(count, -(-int(limit) // chunk))
        tail = request.get(REQUEST_ID)[-4:]
        events = [
            f'id: {n}\ndata: answer {n} to {tail}\n\n'.encode()
            for n in range(1, count + 1)
        ]
        head = [*head, ('Content-Type', 'text/event-stream')]
        is_chunked = self.options.get('framing', 'chunked') == 'chunked'
        if is_chunked:
            head.append(('Transfer-Encoding', 'chunked'))
        else:
            length = sum(len(event) for event in events)
            head.append(('Content-Length', str(length)))
        await asyncio.sleep(self.number('first_s', 0.1))
        writer.write(encode('HTTP/1.1 200 OK', head))
        self.calls += 1
        is_endless = b'ENDLESS' in request.body
        if is_endless or self.calls <= self.number('endless', 0):
            await self._send_without_end(request, reader, writer)
        for number, event in enumerate(events):
            if number:
                await asyncio.sleep(self.number('gap_s', 0.05))
            if writer.is_closing() or reader.at_eof():
                self.tell('dropped', request, events=number)
                raise ConnectionError
            if is_chunked:
                event = b'%x\r\n%s\r\n' % (len(event), event)
            writer.write(event)
            await writer.drain()
        if is_chunked:
            writer.write(b'0\r\n\r\n')
        self.tell('answered', request, status=200, events=count)

    async def _send_without_end(self, request, reader, writer) -> None:
        """Send bytes that are no answer until the caller closes."""
        self.tell('endless', request)
        size = int(self.number('chunk_bytes', 1))
        unit = bytes.fromhex(self.options.get('fill', '78'))
        fill = (unit * size)[:size]
        chunk = b'%x\r\n%s\r\n' % (size, fill)
        block = chunk * max(1, 16384 // len(chunk))
        sent = 0
        while not (writer.is_closing() or reader.at_eof()):
            writer.write(block)
            sent += len(block)
            await writer.drain()
        self.tell('dropped', request, size=sent)
        raise ConnectionError

    async def _call(self, request, head, reader, writer) -> None:
        self.calls += 1
        await asyncio.sleep(self.number('work_s', 0.05))
        each = int(self.number('fail_each', 0))
        status = '200 OK'
        if each and self.calls % each == 0:
            status = self.options['fail_status'].replace('_', ' ')
        if b'ENDLESS' in request.body:
            head.append(('Transfer-Encoding', 'chunked'))
            writer.write(encode('HTTP/1.1 200 OK', head))
            await self._send_without_end(request, reader, writer)
        self.tell('answered', request, status=status)
        body = b'done ' + request.body[:40]
        writer.write(encode(f'HTTP/1.1 {status}', head, body))


async def main(ip: str, port: str, worker_id: str, kind: str, *pairs: str):
    """Serve until the process is killed."""
    options = dict(pair.split('=', 1) for pair in pairs)
    worker = Worker(worker_id, kind, options)
    server = await asyncio.start_server(worker.serve, ip, int(port))
    print(json.dumps({'event': 'listening', 'worker': worker_id}), flush=True)
    async with server:
        await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main(*sys.argv[1:]))
