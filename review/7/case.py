"""Orders for a crashed executor reach its next life and bring it over its capacity: see claim.txt."""
import json
import os
import random
import socket
import struct
import subprocess
import sys
import threading
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'common2'))
from deployment import CannotRun, Deployment, call, free_ports, wait_until  # noqa: E402

ROUNDS = 8
DOWN_S = 0.15
TASK_CPU = 6200
TASKS = 15  # 93 cores
CAPACITY = {'b': 96000, 'a': 64000}
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
EXECUTOR = os.path.join(HERE, '..', 'common2', 'executor.py')
CONFIG = {
    'Version': 3,
    'Routes': [{'Name': 'r-1', 'Host': 'desk.example', 'PathPrefix': '/plan/', 'Type': 'unsafe', 'TimeoutMs': 1500,
                'TargetDurationMs': 60, 'Priority': 0, 'Backend': 'desk', 'MaxAttempts': 2, 'Stretch': 1.6}],
    'Services': [{'Name': 'desk', 'HealthPath': '/health', 'MaxConnections': 64, 'Protocol': 'h1', 'Tls': False,
                  'RejectsOverload': False, 'Standby': False}],
    'Limits': {'MaxHeaderBytes': 16384, 'MaxBodyBytes': 262144, 'HeaderTimeoutMs': 3000, 'IdleTimeoutMs': 15000}}


class Registrar:
    """Passes an executor's connections on to its registrar, and resets the next ones if told to."""

    def __init__(self, address, target):
        self.target = target
        self.to_reset = 0
        self.listener = socket.create_server(address)
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            if self.to_reset > 0:
                self.to_reset -= 1
                near.recv(1)
                near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
                near.close()
                continue
            try:
                far = socket.create_connection(self.target, 1)
            except OSError:
                near.close()
                continue
            for source, sink in ((near, far), (far, near)):
                threading.Thread(target=self.copy, args=(source, sink), daemon=True).start()

    @staticmethod
    def copy(source, sink):
        try:
            while data := source.recv(65536):
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass


class Case:
    def __init__(self):
        self.deployment = Deployment(controls=3, entries=1, agents=2)
        self.notes = os.path.join(self.deployment.folder, 'executors.jsonl')
        self.executors = [None, None]
        deployment = self.deployment
        port = free_ports(1)[0]
        self.registrars = [Registrar((ip, port), (ip, deployment.port_api)) for ip in deployment.agent_ips]
        self.registrar_port = port
        self.sent = []
        self.lock = threading.Lock()

    def start_executor(self, index, kind):
        ip = self.deployment.agent_ips[index]
        options = {'id': f'i-7f3a91c{index}', 'address': ip, 'port': self.deployment.port_app,
                   'registrar': [ip, self.registrar_port], 'service': 'desk', 'zone': 'z1', 'cpu': CAPACITY[kind],
                   'labels': [kind, f'r-{index}'], 'record': self.notes}
        self.executors[index] = subprocess.Popen([sys.executable, EXECUTOR, json.dumps(options)])

    def submit(self, count):
        """Hands in one best-effort job for the rack of machine 0."""
        job = f'{random.randrange(16**16):016x}'
        step = {'Count': count, 'Cpu': TASK_CPU, 'MemMb': 64, 'EstimatedMs': 600, 'RequiredLabel': 'r-0'}
        body = json.dumps({'Spec': json.dumps({'ms': 600, 'cpu': TASK_CPU}), 'BestEffort': True, 'Steps': [step]})
        deployment = self.deployment
        try:
            status = call(deployment.entry_ips[0], deployment.port_front, 'POST', '/plan/' + job,
                          {'Agatedrum-Deadline-Ms': 1500}, body, 2, host='desk.example')[0]
        except OSError as failure:
            status = type(failure).__name__
        with self.lock:
            self.sent.append((round(time.time(), 4), job, status))
        return status

    def round(self):
        """The larger executor of machine 0 crashes and comes back as the smaller one, while callers go on."""
        wait_until(lambda: self.submit(TASKS) == 200, 10, 'a job is served by the larger executor')
        time.sleep(random.uniform(0.2, 0.5))
        if TROUBLE:
            self.registrars[0].to_reset = 1
            self.executors[0].kill()
            self.executors[0].wait()
            time.sleep(DOWN_S)
            self.start_executor(0, 'a')
        end = time.monotonic() + 1.0
        callers = []
        while time.monotonic() < end:
            callers.append(threading.Thread(target=self.submit, args=(TASKS,)))
            callers[-1].start()
            time.sleep(0.03)
        for each in callers:
            each.join()
        if TROUBLE:
            time.sleep(1)
            self.executors[0].kill()
            self.executors[0].wait()
            time.sleep(1.5)
            self.start_executor(0, 'b')

    def run(self):
        self.deployment.start()
        self.deployment.put_config(CONFIG)
        self.start_executor(0, 'b')
        self.start_executor(1, 'a')
        for _ in range(ROUNDS):
            self.round()
        time.sleep(1)

    def judge(self):
        with open(self.notes, encoding='utf-8') as file:
            events = sorted((json.loads(line) for line in file), key=lambda each: each['at'])
        broken = []
        running = {}  # by process: thousandths of a core by task
        for each in events:
            tasks = running.setdefault(each['pid'], {})
            if each['what'] == 'start':
                tasks[each['task']] = each['spec']['cpu']
                if sum(tasks.values()) > CAPACITY[each['labels'][0]]:
                    broken.append(dict(each, used=sum(tasks.values()), capacity=CAPACITY[each['labels'][0]]))
            elif each['what'] == 'end':
                tasks.pop(each['task'], None)
        with open(os.path.join(HERE, 'record.txt'), 'w', encoding='utf-8') as file:
            file.write(f'TROUBLE={int(TROUBLE)} rounds={ROUNDS} sent={len(self.sent)} '
                       f'starts={sum(each["what"] == "start" for each in events)} over the capacity={len(broken)}\n')
            for each in broken:
                file.write('BROKEN ' + json.dumps(each) + '\n')
            rows = [(each['at'], json.dumps(each)) for each in events]
            rows += [(at, json.dumps({'at': at, 'what': 'answer', 'job': job, 'status': status}))
                     for at, job, status in self.sent]
            for _, row in sorted(rows):
                file.write(row + '\n')
        return 1 if broken else 0

    def stop(self):
        for each in self.executors:
            if each and each.poll() is None:
                each.kill()
                each.wait()
        self.deployment.stop(os.environ.get('KEEP') == '1')


def main():
    case = None
    try:
        case = Case()
        case.run()
        return case.judge()
    except (CannotRun, OSError) as failure:
        print('cannot run:', failure, file=sys.stderr)
        return 2
    finally:
        if case:
            case.stop()


sys.exit(main())
