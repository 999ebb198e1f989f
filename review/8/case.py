"""A job that needs a label is started on an executor without it: see claim.txt."""
import json
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'common2'))
from deployment import CannotRun, Deployment, call, read_response, send_request, wait_until  # noqa: E402

ROUNDS = 50  # ends after the first one in which the rule is broken
MOST_S = 90.0
MACHINES = 11
FREEZE_S = 0.45
DOWN_S = 0.05
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
EXECUTOR = os.path.join(HERE, '..', 'common2', 'executor.py')
CONFIG = {
    'Version': 3,
    'Routes': [{'Name': 'r-1', 'Host': 'desk.example', 'PathPrefix': '/plan/', 'Type': 'unsafe', 'TimeoutMs': 1500,
                'TargetDurationMs': 500, 'Priority': 0, 'Backend': 'desk', 'MaxAttempts': 2, 'Stretch': 1.6}],
    'Services': [{'Name': 'desk', 'HealthPath': '/health', 'MaxConnections': 64, 'Protocol': 'h1', 'Tls': False,
                  'RejectsOverload': False, 'Standby': False}],
    'Limits': {'MaxHeaderBytes': 16384, 'MaxBodyBytes': 262144, 'HeaderTimeoutMs': 3000, 'IdleTimeoutMs': 15000}}


class Case:
    def __init__(self):
        self.deployment = Deployment(controls=3, entries=1, agents=MACHINES)
        self.notes = os.path.join(self.deployment.folder, 'executors.jsonl')
        self.executors = [None] * MACHINES
        self.lives = 0
        self.sent = []  # (id, label, status)
        self.lock = threading.Lock()

    def start_executor(self, index, kind):
        self.lives += 1
        deployment = self.deployment
        ip = deployment.agent_ips[index]
        options = {'id': f'i-{self.lives:04d}{random.randrange(16**6):06x}', 'address': ip, 'port': deployment.port_app,
                   'registrar': [ip, deployment.port_api], 'service': 'desk', 'zone': 'z1', 'cpu': 64000,
                   'labels': [kind, f'r-{index}'], 'record': self.notes}
        self.executors[index] = subprocess.Popen([sys.executable, EXECUTOR, json.dumps(options)])

    def submit(self, label, connection=None):
        """Hands in one best-effort job with one task that needs the label."""
        job = f'{random.randrange(16**16):016x}'
        body = json.dumps({'Spec': json.dumps({'ms': 60, 'label': label}), 'BestEffort': True,
                           'Steps': [{'Count': 1, 'Cpu': 1000, 'MemMb': 64, 'EstimatedMs': 60, 'RequiredLabel': label}]})
        deployment = self.deployment
        status = 'no response'
        try:
            with connection or socket.create_connection((deployment.entry_ips[0], deployment.port_front), 2) as open_one:
                open_one.settimeout(2)
                send_request(open_one, 'desk.example', 'POST', '/plan/' + job, {'Agatedrum-Deadline-Ms': 1500}, body)
                status = read_response(open_one)[0]
        except OSError as failure:
            status = f'{type(failure).__name__}'
        with self.lock:
            self.sent.append((round(time.time(), 4), job, label, status))
        return status

    def wait_for_label(self, label):
        wait_until(lambda: self.submit(label) == 200, 10, f'a job with label {label} is served')

    def round(self, number):
        """The executor of machine 0 crashes and comes back as another kind, while the entry stands still."""
        old, new = ('a', 'b') if number % 2 == 0 or not TROUBLE else ('b', 'a')
        self.wait_for_label(old)
        time.sleep(random.uniform(0.3, 0.6))
        entry = self.deployment.entries[0]
        address = (self.deployment.entry_ips[0], self.deployment.port_front)
        connections = [socket.create_connection(address, 2) for _ in range(24)]
        if TROUBLE:
            entry.signal(signal.SIGSTOP)
            frozen_at = time.monotonic()
            self.executors[0].kill()
            self.executors[0].wait()
            time.sleep(DOWN_S)
            self.start_executor(0, new)
        callers = [threading.Thread(target=self.submit, args=(old, each)) for each in connections]
        for each in callers:
            each.start()
        if TROUBLE:
            time.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
            entry.signal(signal.SIGCONT)
        for each in callers:
            each.join()

    def run(self):
        self.deployment.start()
        self.deployment.put_config(CONFIG)
        self.start_executor(0, 'a')
        for index in range(1, MACHINES):
            self.start_executor(index, 'c')
        began = time.monotonic()
        for number in range(ROUNDS):
            self.round(number)
            if self.broken_starts() or time.monotonic() - began > MOST_S:
                break
        time.sleep(1)

    def events(self):
        with open(self.notes, encoding='utf-8') as file:
            return [json.loads(line) for line in file]

    def broken_starts(self):
        return [each for each in self.events()
                if each['what'] == 'start' and each['spec']['label'] not in each['labels']]

    def judge(self):
        events = self.events()
        broken = self.broken_starts()
        with open(os.path.join(HERE, 'record.txt'), 'w', encoding='utf-8') as file:
            file.write(f'TROUBLE={int(TROUBLE)} sent={len(self.sent)} '
                       f'starts={sum(each["what"] == "start" for each in events)} without the label={len(broken)}\n')
            rows = [(each['at'], json.dumps(each)) for each in events]
            rows += [(at, json.dumps({'at': at, 'what': 'answer', 'job': job, 'label': label, 'status': status}))
                     for at, job, label, status in self.sent]
            for each in broken:
                file.write('BROKEN ' + json.dumps(each) + '\n')
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
