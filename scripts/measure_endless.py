"""Measure what servers that send bytes without end take from an instance.

A process of its own sends them. For each form the table shows the longest
pause of the instance's event loop, the growth of its memory and how many
calls of others were late or failed meanwhile.
"""

import asyncio
from dataclasses import dataclass
import itertools
import json
from multiprocessing import get_context
from pathlib import Path
import re
import sys
import time
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from jackdawfield.gateway.storage.rows import RowKey  # noqa: E402
from tests.gateway.harness import Answer  # noqa: E402
from tests.gateway.harness import configuration  # noqa: E402
from tests.gateway.harness import Fleet  # noqa: E402
from tests.gateway.harness import HOST  # noqa: E402
from tests.gateway.harness import PREFIX  # noqa: E402
from tests.gateway.scripted_server import ReceivedRequest  # noqa: E402
from tests.gateway.scripted_server import ScriptedServer  # noqa: E402

SIZES = (1, 16, 200, 4000)
FILLS_BY_NAME = {'x': b'x', 'line feeds': b'\n', 'comments': b':\n\n'}
PATHS_BY_NAME = {'stream': '/turns/x', 'call': '/tool/x'}
AT_ONCE = (1, 12)
DURATION_S = 2.5
SOUND_INTERVAL_S = 0.05
LATE_S = 0.25
BLOCK_BYTES = 65536


@dataclass(frozen=True, slots=True)
class Form:
    """Describes bytes without end; a chunk size of 0 stands for the head."""

    size: int
    fill: bytes


def endless_block(form: Form) -> bytes:
    """Return a block of the bytes that are sent again and again."""
    content = (form.fill * form.size)[: form.size]
    chunk = b'%x\r\n%s\r\n' % (len(content), content)
    return chunk * max(1, BLOCK_BYTES // len(chunk))


def serve(port_sender: object, form: Form) -> None:
    """Serve bytes without end until this process is ended."""

    async def script(received: ReceivedRequest) -> None:
        request_id = received.header('x-jackdawfield-request-id')
        head = (
            f'HTTP/1.1 200 OK\r\n{PREFIX}Request-Id: {request_id}\r\n'
            f'{PREFIX}Server-Stamp: stamp\r\n'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
        )
        received.writer.write(head.encode())
        block = endless_block(form)
        while True:
            received.writer.write(block)
            await received.writer.drain()

    async def run() -> None:
        server = await ScriptedServer(script).start()
        port_sender.send(server.port)  # type: ignore[attr-defined]
        await asyncio.sleep(60)

    asyncio.run(run())


def resident_mb() -> float:
    """Return the resident memory of this process in MB."""
    status = Path('/proc/self/status').read_text(encoding='utf-8')
    found = re.search(r'VmRSS:\s+(\d+)', status)
    return int(found.group(1)) / 1024 if found else 0.0


async def measure(form: Form, path: str, count: int) -> str:
    """Return the figures of one form as the end of a table row."""
    context = get_context('spawn')
    receiver, sender = context.Pipe(False)
    process = context.Process(target=serve, args=(sender, form))
    process.start()
    fleet = Fleet()
    try:
        await fleet.start(1)
        add_endless_service(fleet, receiver.recv())
        gateway = fleet.gateways[0]
        await fleet.wait_until(lambda: len(gateway.servers.by_id) == 2)
        return await run_beside(fleet, path, count)
    finally:
        await fleet.stop()
        process.kill()
        process.join()


def add_endless_service(fleet: Fleet, port: int) -> None:
    """List the other process as the only server of the turns and tools."""
    wire = configuration(2)
    for route in wire['routes']:
        if route['name'] in ('turns', 'tool'):
            route['service'] = 'endless'
    service = dict(wire['services'][0], name='endless')
    service['engine'] = {**service['engine'], 'slots': 12}
    wire['services'].append(service)
    fleet.configure(wire)
    entry: dict[str, Any] = {
        'service': 'endless',
        'address': f'{HOST}:{port}',
        'zone': 'a',
        'slots': 12,
        'state': 'ready',
    }
    fleet.rows.put(RowKey('servers', '', 'e'), json.dumps(entry).encode())


async def run_beside(fleet: Fleet, path: str, count: int) -> str:
    """Send calls of others beside endless ones; return the figures."""
    gateway = fleet.gateways[0]
    await asyncio.sleep(0.2)
    before_mb = resident_mb()
    pauses = [0.0]
    most_mb = [before_mb]

    async def watch() -> None:
        while True:
            due_at_s = time.monotonic() + 0.01
            await asyncio.sleep(0.01)
            pauses.append(time.monotonic() - due_at_s)
            most_mb.append(resident_mb())

    watching = asyncio.create_task(watch())
    endless = [
        asyncio.create_task(fleet.call(gateway, f'e{n}', path))
        for n in range(count)
    ]
    ends_at_s = time.monotonic() + DURATION_S
    late = failed = sent = 0
    while time.monotonic() < ends_at_s:
        started_s = time.monotonic()
        answer = await fleet.call(gateway, f's{sent}', '/open/x')
        took_s = time.monotonic() - started_s
        sent += 1
        failed += answer.status != 200
        late += took_s > LATE_S
        await asyncio.sleep(max(0.0, SOUND_INTERVAL_S - took_s))
    answers = await asyncio.gather(*endless, return_exceptions=True)
    watching.cancel()
    whole = sum(
        isinstance(a, Answer) and a.status == 200 and a.whole for a in answers
    )
    return (
        f'{max(pauses) * 1000:.0f} | {max(most_mb) - before_mb:.0f} | '
        f'{late} and {failed} of {sent} | {whole}'
    )


def main() -> None:
    """Print the table."""
    print('| sent as | chunk | of | at once | pause ms | MB | late | whole |')
    print('| --- | --- | --- | --- | --- | --- | --- | --- |')
    forms = itertools.product(PATHS_BY_NAME, SIZES, FILLS_BY_NAME, AT_ONCE)
    for kind, size, fill, count in forms:
        form = Form(size, FILLS_BY_NAME[fill])
        figures = asyncio.run(measure(form, PATHS_BY_NAME[kind], count))
        print(f'| {kind} | {size} | {fill} | {count} | {figures} |')


if __name__ == '__main__':
    main()
