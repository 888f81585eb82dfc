"""Stand-ins for agent programs and for workers that stream their turns."""

import asyncio

from standins import call
from standins import configuration
from standins import Deployment
from standins import PREFIX
from standins import STABLE_S
from standins import Worker

SERVICE = 'minds'
ZONES = {'a': 'north', 'b': 'north', 'c': 'south'}
CHUNK_TOKENS = 10
EVENTS = 20
TURN_TOKENS = CHUNK_TOKENS * EVENTS


class Engine(Worker):
    """Streams the events of a turn and notes the prompt that it got."""

    prompts = None

    async def run(self, writer, head, headers, body):
        self.prompts[headers[f'{PREFIX}request-id'.lower()]] = body
        writer.write(
            f'HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'.encode()
        )
        for number in range(EVENTS):
            event = f'id: {number}\ndata: t{number}\n\n'
            writer.write(f'{len(event):x}\r\n{event}\r\n'.encode())
            await writer.drain()
            await asyncio.sleep(0.005)
        writer.write(b'0\r\n\r\n')


class Programs:
    """Runs the turns of programs on a small deployment."""

    def __init__(self, record):
        self.record = record
        self.deployment = Deployment(record, ZONES)
        self.prompts = {}
        self.workers = []

    async def start(self, retention_s_by_route):
        store = self.deployment.store
        await store.start('127.0.0.1')
        store.put(
            'op',
            'config',
            configuration(
                [
                    {
                        'name': SERVICE,
                        'healthPath': '/health',
                        'maxConns': 150,
                        'engine': {'slots': 6, 'chunkTokens': CHUNK_TOKENS},
                    }
                ],
                [
                    (
                        name,
                        SERVICE,
                        {
                            'kind': 'streaming',
                            'gapAimMs': 200,
                            'sticky': True,
                            'retainContext': True,
                            'retentionS': retention_s,
                        },
                    )
                    for name, retention_s in retention_s_by_route.items()
                ],
            ),
        )
        for number, zone in enumerate('aabbcc'):
            worker = Engine(self.record, f'i-{number}', zone, SERVICE)
            worker.prompts = self.prompts
            await worker.start('127.0.0.1')
            self.workers.append(worker)
            store.put('servers', worker.id, worker.entry())
        add = self.deployment.add_machine
        machines = [add(f'front-{z}-{n}', z) for z in 'abc' for n in (0, 1)]
        self.deployment.seeds = [machine.control for machine in machines[::2]]
        for machine in machines:
            await machine.start(bootstrap=True)
        for machine in machines:
            await machine.wait_until_ready()
        await asyncio.sleep(STABLE_S)

    @property
    def machines(self):
        return self.deployment.machines

    async def turn(
        self, machine, route, program, turn_id, budget, finish_ms, previous=''
    ):
        """Send one turn; return its answer and the tokens handed over."""
        headers = {
            'Program_Id': program,
            'Session_Id': program,
            'Finish_Ms': str(finish_ms),
            'Model': 'm',
            'Token_Usage': f'100,{TURN_TOKENS}',
            'Token_Budget': str(budget),
        }
        if previous:
            headers['Previous_Turn'] = previous
        answer = await call(
            self.record, machine.front, turn_id, 'POST', f'/{route}/x',
            f'input of {turn_id};'.encode(), **headers,
        )
        tokens = answer.body.count(b'data:') * CHUNK_TOKENS
        self.record.add(
            'turn', id=turn_id, route=route, program=program,
            previous=previous or None, status=answer.status, tokens=tokens,
        )
        return answer, tokens

    async def stop(self):
        for worker in self.workers:
            worker.end()
        await self.deployment.stop()
