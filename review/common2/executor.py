"""Stand-in for an executor, as PROTOCOL.md tells: one process, started anew after each crash.

python3 executor.py '{json}' with id, address, port, registrar, service, zone, cpu, labels, record (a file to which it
appends what it starts and ends), and optionally late (see below).
"""
import asyncio
import json
import os
import sys
import time

options = json.loads(sys.argv[1])
BORN = int(time.time() * 1000)
START = time.monotonic()
MAX_HOLD_MS = 1000
record = open(options['record'], 'a', buffering=1, encoding='utf-8')


def clock_ms():
    return int((time.monotonic() - START) * 1000) + 1000


def note(what, **fields):
    record.write(json.dumps(dict(at=round(time.time(), 4), what=what, executor=options['id'], born=BORN,
                                 pid=os.getpid(), labels=options['labels'], **fields)) + '\n')


class Executor:
    def __init__(self):
        self.fence = 0
        self.lease_ms = 0
        self.running = {}  # task: dict
        self.highest = {}
        self.ended = []
        self.number = 0
        self.changed = asyncio.Event()
        self.stopped = {}

    def extend(self, deadline):
        self.lease_ms = max(self.lease_ms, min(deadline, clock_ms() + MAX_HOLD_MS))

    def end(self, task, how):
        run = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run['run'])
        self.number += 1
        self.ended.append([self.number, task, run['run'], how, ''])
        note('end', task=task, run=run['run'], how=how)
        self.changed.set()

    def advance(self):
        now = clock_ms()
        for task, run in list(self.running.items()):
            due = min(run['due'], self.lease_ms)
            if due <= now:
                self.end(task, run['how'] if run['due'] <= self.lease_ms else 'lapsed')

    def start(self, call):
        if call['DeadlineMs'] <= clock_ms():
            return 409, {'Reason': 'late'}
        self.extend(call['DeadlineMs'])
        task, run = call['Task'], call['RunId']
        present = self.running.get(task)
        if present and present['run'] == run:
            return 200, {}
        if run <= self.highest.get(task, 0) or (present and run <= present['run']):
            return 409, {'Reason': 'old'}
        work = json.loads(call['Spec'])
        now = clock_ms()
        self.running[task] = {'run': run, 'begun': now, 'due': now + work['ms'], 'how': 'done'}
        note('start', task=task, run=run, spec=work)
        return 200, {}

    def stop(self, call):
        task, run = call['Task'], call['RunId']
        self.highest[task] = max(self.highest.get(task, 0), run)
        present = self.running.get(task)
        if present and present['run'] == run:
            present['how'] = 'stopped'
            present['due'] = min(present['due'], clock_ms() + 10)
        note('stop', task=task, run=run)
        return 200, {}

    async def hold(self, call):
        if call.get('DeadlineMs'):
            self.extend(call['DeadlineMs'])
        cursor = call.get('AckCursor', 0)
        self.ended = [each for each in self.ended if each[0] > cursor]
        end = time.monotonic() + call.get('WaitMs', 0) / 1000
        while not self.ended and time.monotonic() < end:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, end - time.monotonic()))
            except asyncio.TimeoutError:
                pass
        now = clock_ms()
        rows = [[task, run['run'], '', min(99, 100 * (now - run['begun']) // max(1, run['due'] - run['begun'])), 0]
                for task, run in self.running.items()]
        return 200, {'Running': rows, 'EndedRuns': self.ended[:500]}

    async def answer(self, path, headers, body):
        if path == options.get('health', '/health'):
            return 200, {}
        expected = headers.get('agatedrum-expect-instance')
        if expected is not None and expected != options['id']:
            return 421, {}
        call = json.loads(body)
        self.advance()
        if call.get('FencingToken', 0) < self.fence:
            return 409, {'Reason': 'fence'}
        self.fence = call.get('FencingToken', 0)
        if path == '/run-start':
            return self.start(call)
        if path == '/run-stop':
            return self.stop(call)
        if path == '/hold':
            return await self.hold(call)
        return 400, {}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode().split('\r\n')
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(':')
                    headers[name.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get('content-length', 0)))
                status, answer = await self.answer(lines[0].split()[1], headers, body)
                answer.update(ClockMs=clock_ms(), born=BORN)
                text = json.dumps(answer).encode()
                writer.write(b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n'
                             % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def register(self):
        sequence = 0
        while True:
            sequence += 1
            body = json.dumps({
                'Backend': options['service'], 'Address': f"{options['address']}:{options['port']}",
                'Zone': options['zone'], 'Version': 'v1', 'Slots': 8, 'State': 'ready', 'ColdRemainingMs': 0,
                'Capacity': {'Cpu': options['cpu'], 'MemMb': 65536, 'Gpus': 0}, 'Labels': options['labels'],
                'ClockMs': clock_ms(), 'Sequence': sequence, 'born': BORN}).encode()
            is_acked = False
            try:
                host, port = options['registrar']
                reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), 1)
                writer.write((f"PUT /instances/{options['id']} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json"
                              f'\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n').encode() + body)
                line = await asyncio.wait_for(reader.readline(), 1)
                is_acked = b' 2' in line
                writer.close()
            except (OSError, asyncio.TimeoutError):
                pass
            if sequence == 1:
                note('registered', acked=is_acked)
            await asyncio.sleep(1.5 if is_acked else 0.2)

    async def tick(self):
        while True:
            await asyncio.sleep(0.005)
            self.advance()


async def main():
    executor = Executor()
    note('begin')
    await asyncio.start_server(executor.serve, options['address'], options['port'], reuse_address=True)
    await asyncio.gather(executor.register(), executor.tick())


asyncio.run(main())
