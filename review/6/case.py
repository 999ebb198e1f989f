"""A voter that is gone for good keeps its vote while the leaders change, and one lost disk ends the group: see claim.txt."""
import json
import os
import random
import re
import shutil
import signal
import sys
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'common2'))
from deployment import CannotRun, Deployment, call, wait_until  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
CATCH_UP_S = 4.0
STOP_GAP_S = 1.1  # between two stops in turn
START_SUCCESSOR_S = 1.0
MARGIN_S = 0.3
DARK_S = 1.0
READ_BACK_S = 25.0  # RecoveryS is 12
CONFIG = {
    'Version': 3,
    'Routes': [{'Name': 'r-1', 'Host': 'desk.example', 'PathPrefix': '/plan/', 'Type': 'unsafe', 'TimeoutMs': 1500,
                'TargetDurationMs': 60, 'Priority': 0, 'Backend': 'desk', 'MaxAttempts': 2, 'Stretch': 1.6}],
    'Services': [{'Name': 'desk', 'HealthPath': '/health', 'MaxConnections': 64, 'Protocol': 'h1', 'Tls': False,
                  'RejectsOverload': False, 'Standby': False}],
    'Limits': {'MaxHeaderBytes': 16384, 'MaxBodyBytes': 262144, 'HeaderTimeoutMs': 3000, 'IdleTimeoutMs': 15000}}


class Case:
    def __init__(self):
        self.deployment = Deployment(controls=5, entries=0, agents=0)  # the fifth is the successor's machine
        self.machines = self.deployment.controls
        self.successor = self.machines[4]
        self.rows = []
        self.began = time.monotonic()

    def note(self, what, **fields):
        self.rows.append(dict(at=round(time.monotonic() - self.began, 3), what=what, **fields))

    def log_of(self, machine):
        with open(machine.log, encoding='utf-8', errors='replace') as file:
            return file.read()

    def leader(self):
        """Returns the machine that was elected last, as the logs tell; only to choose whom to stop."""
        best, term = None, 0
        for machine in self.machines:
            if machine.child and machine.child.poll() is None:
                for found in re.finditer(r'event=leader_elected .*?term=(\d+)', self.log_of(machine)):
                    if int(found.group(1)) > term:
                        best, term = machine, int(found.group(1))
        return best

    def voters(self):
        """Returns the machines that vote, as the log of the leader tells; only to choose whose disk is lost."""
        leader = self.leader()
        found = re.findall(r'event=membership_adopted .*? voters=(\S*)', self.log_of(leader)) if leader else []
        ips = [each.split(':')[0] for each in found[-1].split(',')] if found else []
        return [self.machines[self.deployment.control_ips.index(ip)] for ip in ips]

    def read(self):
        """Reads the configuration back at all nodes, as the operator does; returns its version, or 0."""
        for ip in random.sample(self.deployment.control_ips, len(self.deployment.control_ips)):
            try:
                status, body = call(ip, self.deployment.port_api, 'GET', '/config', {}, '', 1.0)
            except OSError:
                continue
            if status == 200:
                return json.loads(body)['Version']
        return 0

    def put(self, version):
        self.deployment.put_config(dict(CONFIG, Version=version))
        self.note('acknowledged', version=version)

    def stop_in_turn(self, machine):
        """SIGTERM, as in a planned restart; the process is started again as soon as it has ended."""
        self.note('stopped', machine=machine.name)
        machine.signal(signal.SIGTERM)
        try:
            machine.child.wait(6)
        except Exception:  # the platform kills it after GraceS
            machine.kill()
        machine.start()
        self.note('started', machine=machine.name)

    def run(self):
        for machine in self.machines[:4]:
            machine.start()
        self.put(3)
        wait_until(lambda: len(self.voters()) == 3 and self.leader() in self.voters(), 10, 'three processes vote')
        time.sleep(2)
        self.put(7)
        for machine in self.machines:  # Bootstrap is true at the first start only
            with open(machine.settings, encoding='utf-8') as file:
                text = file.read()
            with open(machine.settings, 'w', encoding='utf-8') as file:
                file.write(text.replace('mayFormGroup: true', 'mayFormGroup: false'))
        time.sleep(1)
        gone = next(each for each in self.voters() if each is not self.leader())
        if TROUBLE:
            self.note('gone for good', machine=gone.name)
            gone.kill()
            shutil.rmtree(os.path.join(self.deployment.folder, 'data-' + gone.name), ignore_errors=True)
        lost_at = time.monotonic()
        successor_at = None
        last_stop = lost_at - 0.2  # the first stop comes some time after the loss
        while successor_at is None or time.monotonic() < successor_at + CATCH_UP_S - 0.4:
            if successor_at is None and time.monotonic() >= lost_at + START_SUCCESSOR_S:
                self.successor.start()
                successor_at = time.monotonic()
                self.note('successor started')
            leader = self.leader()
            if time.monotonic() >= last_stop + STOP_GAP_S and leader and leader is not self.successor:
                last_stop = time.monotonic()
                self.stop_in_turn(leader)
            time.sleep(0.02)
        time.sleep(max(0.0, successor_at + CATCH_UP_S + MARGIN_S - time.monotonic()))
        voters = self.voters()
        self.note('voters', machines=[each.name for each in voters], leader=getattr(self.leader(), 'name', None))
        if TROUBLE:
            hit = next((each for each in voters if each not in (gone, self.successor, self.leader())),
                       None) or self.leader()
            self.note('disk lost', machine=hit.name)
            hit.kill()
            shutil.rmtree(os.path.join(self.deployment.folder, 'data-' + hit.name), ignore_errors=True)
            time.sleep(DARK_S)
            hit.start()
            self.note('back with an empty disk', machine=hit.name)
        end = time.monotonic() + READ_BACK_S
        self.version = 0
        while time.monotonic() < end:
            self.version = self.read()
            self.note('read back', version=self.version)
            if self.version:
                break
            time.sleep(0.3)

    def judge(self):
        broken = self.version < 7
        with open(os.path.join(HERE, 'record.txt'), 'w', encoding='utf-8') as file:
            file.write(f'TROUBLE={int(TROUBLE)} acknowledged=7 read back={self.version or "nothing"}\n')
            for row in self.rows:
                file.write(json.dumps(row) + '\n')
        return 1 if broken else 0


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
            case.deployment.stop(os.environ.get('KEEP') == '1')


sys.exit(main())
