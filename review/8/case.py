"""Send turns whose inputs are long, yet within the limits, in calm."""

import asyncio
import os
from pathlib import Path
import sys

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from review.harness.deployment import configuration  # noqa: E402
from review.harness.deployment import Deployment  # noqa: E402
from review.harness.deployment import HOST_NAME  # noqa: E402
from review.harness.deployment import MODEL_SERVICE  # noqa: E402
from review.harness.deployment import new_id  # noqa: E402
from review.harness.deployment import play  # noqa: E402
from review.harness.deployment import route  # noqa: E402
from review.harness.fleet import FRONT_PORT  # noqa: E402
from review.harness.http import encode  # noqa: E402
from review.harness.http import MAX_HEAD_BYTES  # noqa: E402
from review.harness.http import read_body  # noqa: E402
from review.harness.http import read_head  # noqa: E402
from review.harness.worker import PREFIX  # noqa: E402
from review.harness.worker import Worker  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ZONES = {'centro-leon': 'centro'}
KEY = '3fexd9dnn2ctnfzs989a'
# Within maxBodyBytes, which is 4,194,304.
LONG_BYTES = 1_500_000 if TROUBLE else 20_000
TURNS = 6
# Kept channels that may be closed without an answer.
ALLOWED = 3


async def turn(
    deployment: Deployment,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    body: bytes,
) -> bool:
    """Send a first turn on a channel; return whether its answer is whole."""
    request_id = new_id()
    headers = [
        ('Host', HOST_NAME),
        (PREFIX + 'Request-Id', request_id),
        (PREFIX + 'Deadline-Ms', '4000'),
        (PREFIX + 'Credential', KEY),
        (PREFIX + 'Model', 'm'),
        (PREFIX + 'Program-Id', new_id()),
        (PREFIX + 'Session-Id', new_id()),
        (PREFIX + 'Finish-Ms', '8000'),
        (PREFIX + 'Token-Budget', '3600'),
        (PREFIX + 'Token-Usage', '1460,36'),
        ('Content-Length', str(len(body))),
    ]
    writer.write(encode('POST /malla/2f HTTP/1.1', headers, body))
    await writer.drain()
    async with asyncio.timeout(6.0):
        answer = await read_head(reader)
        if answer is not None:
            await read_body(reader, answer, until_eof=True)
    status = answer.status if answer is not None else None
    is_whole = answer is not None and answer.is_complete
    runs = [r for r in deployment.runs if r.request_id == request_id]
    deployment.log(
        f'turn {request_id} of {len(body)} bytes: {len(runs)} run,'
        f' {[r.events for r in runs]} events; status {status},'
        f' {"whole" if is_whole else "CLOSED WITHOUT THE END"}'
    )
    return is_whole


async def run(deployment: Deployment) -> bool:
    """Send long turns on kept channels; return whether LOST held."""
    workers = [
        Worker(
            f'i-pool-{n}',
            MODEL_SERVICE,
            'centro-leon',
            f'{deployment.net}.{200 + n}',
            deployment.store,
            deployment.runs,
            events=4,
            slots=16,
        )
        for n in range(1, 3)
    ]
    chat = route(
        'malla',
        'streaming',
        MODEL_SERVICE,
        retainContext=True,
        retentionS=60.0,
        sticky=True,
        gapAimMs=150,
        timeoutMs=4000,
    )
    await deployment.start(workers, configuration([chat], {'hule930': KEY}), 3)
    await asyncio.sleep(5.0)
    lost = 0
    for number in range(TURNS):
        machine = deployment.machines[number % 3]
        reader, writer = await asyncio.open_connection(
            machine.host, FRONT_PORT, limit=MAX_HEAD_BYTES
        )
        if not await turn(deployment, reader, writer, b'short'):
            raise RuntimeError('a short turn was not served')
        long = os.urandom(LONG_BYTES)
        lost += not await turn(deployment, reader, writer, long)
        writer.close()
    deployment.log(
        f'{lost} of {TURNS} kept channels were closed without an answer;'
        f' {ALLOWED} are allowed: LOST'
        f' {"broken" if lost > ALLOWED else "held"}'
    )
    return lost <= ALLOWED


sys.exit(asyncio.run(play(Path(__file__).parent, ZONES, run)))
