"""Starts a small deployment of the project's own program on loopback addresses.

The settings are the templates of deploy/, filled in as DEPLOY.md tells. Each machine has an address of its own in
127.0.0.0/8, and the ports are the same on all machines.
"""
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), '..', '..'))
DAEMON = os.path.join(ROOT, 'target', 'agatedrumd')
BOUNDS = {'RetryDelayMs': 1300, 'GraceS': 6, 'CatchUpS': 4, 'CrossRackFactor': 1.5}


def end(_number, _frame):
    raise SystemExit(2)


signal.signal(signal.SIGTERM, end)  # so that the processes are ended as well when the time is over


class CannotRun(Exception):
    """The case could not be set up."""


def lookup(fields, path):
    value = fields
    for part in path.split('.'):
        value = value[int(part)] if isinstance(value, list) else value[part]
    return value


def render(template, fields):
    """Fills in the placeholders that the templates of deploy/ use."""
    def replace(match):
        name, _, form = match.group(1).partition('|')
        try:
            value = lookup(fields, name)
        except (KeyError, IndexError):
            value = None
        if form == 'json':
            return json.dumps(value)
        if value is None:
            return ''
        if isinstance(value, bool):
            return 'true' if value else 'false'
        return ','.join(str(each) for each in value) if isinstance(value, list) else str(value)
    return re.sub(r'\{\{([^{}]+)\}\}', replace, template)


def free_ports(count):
    """Returns ports that are free on all loopback addresses."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(('0.0.0.0', 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Process:
    """One process of the system; keeps its settings file, so that it can be started again."""

    def __init__(self, name, settings, log):
        self.name = name
        self.settings = settings
        self.log = log
        self.child = None

    def start(self):
        with open(self.log, 'ab') as log:
            self.child = subprocess.Popen([DAEMON, '--settings', self.settings], stdout=log, stderr=log, cwd=ROOT)

    def signal(self, number):
        self.child.send_signal(number)

    def kill(self):
        if self.child and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()


class Deployment:
    """Control processes, entries and agents. An executor's stand-in is started by the case."""

    def __init__(self, controls=3, entries=1, agents=1, bounds=None):
        if not os.path.exists(DAEMON):
            raise CannotRun('target/agatedrumd is missing; run the build of deploy/system.toml')
        self.folder = tempfile.mkdtemp(prefix='agatedrum-case-')
        self.bounds = dict(BOUNDS, **(bounds or {}))
        net = f'127.{random.randint(20, 220)}.{random.randint(1, 250)}'
        self.port_control, self.port_entry, self.port_front, self.port_ready, self.port_api, self.port_app = free_ports(6)
        self.control_ips = [f'{net}.{10 + i}' for i in range(controls)]
        self.entry_ips = [f'{net}.{30 + i}' for i in range(entries)]
        self.agent_ips = [f'{net}.{50 + i}' for i in range(agents)]
        zones = ['z1', 'z2', 'z3', 'z4']
        self.controls = [self.process('control', f'control-{i}', ip, zones[i % 4]) for i, ip in enumerate(self.control_ips)]
        self.entries = [self.process('entry', f'entry-{i}', ip, zones[i % 4]) for i, ip in enumerate(self.entry_ips)]
        self.agents = [self.process('agent', f'agent-{i}', ip, zones[i % 4]) for i, ip in enumerate(self.agent_ips)]

    def process(self, role, name, ip, zone):
        fields = {
            'NodeName': name, 'Ip': ip, 'Zone': zone, 'Region': 'loop', 'Bootstrap': True,
            'InternalPorts': [self.port_control, self.port_entry],
            'SeedNodes': [f'{each}:{self.port_api}' for each in self.control_ips[:3]],
            'BindAddrs': {'Frontend': f'{ip}:{self.port_front}', 'Ready': f'{ip}:{self.port_ready}',
                          'ControlPlane': f'{ip}:{self.port_api}'},
            'FaultTolerance': {'Machines': 1 if len(self.control_ips) > 2 else 0, 'Zones': 0, 'Regions': 0},
            'Bounds': self.bounds,
        }
        if role == 'control':
            fields['DataDir'] = os.path.join(self.folder, 'data-' + name)
        with open(os.path.join(ROOT, 'deploy', role + '.yaml'), encoding='utf-8') as file:
            text = render(file.read(), fields)
        settings = os.path.join(self.folder, name + '.yaml')
        with open(settings, 'w', encoding='utf-8') as file:
            file.write(text)
        return Process(name, settings, os.path.join(self.folder, name + '.log'))

    def start(self):
        for each in self.controls + self.entries + self.agents:
            each.start()

    def put_config(self, config, timeout=15):
        """Sends the configuration until it is acknowledged, as the operator does."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            for ip in self.control_ips:
                try:
                    status, _ = call(ip, self.port_api, 'PUT', '/config', {}, json.dumps(config), 1.0)
                except OSError:
                    continue
                if status == 200:
                    return
                if status in (400, 409, 412, 413, 422):
                    raise CannotRun(f'the configuration was refused with {status}')
            time.sleep(0.2)
        raise CannotRun('the configuration got no ack')

    def stop(self, keep=False):
        for each in self.controls + self.entries + self.agents:
            each.kill()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)


def send_request(connection, host, method, path, headers, body):
    text = body.encode() if isinstance(body, str) else body
    lines = [f'{method} {path} HTTP/1.1', f'Host: {host}', 'Content-Type: application/json',
             f'Content-Length: {len(text)}'] + [f'{name}: {value}' for name, value in headers.items()]
    connection.sendall(('\r\n'.join(lines) + '\r\n\r\n').encode() + text)


def read_response(connection):
    """Returns status and body, or raises OSError if the response is not whole."""
    data = b''
    while b'\r\n\r\n' not in data:
        part = connection.recv(65536)
        if not part:
            raise ConnectionResetError('no complete response')
        data += part
    head, _, body = data.partition(b'\r\n\r\n')
    lines = head.decode().split('\r\n')
    length = 0
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name.lower() == 'content-length':
            length = int(value)
    while len(body) < length:
        part = connection.recv(65536)
        if not part:
            raise ConnectionResetError('no complete response')
        body += part
    return int(lines[0].split()[1]), body.decode()


def call(ip, port, method, path, headers, body, timeout, host=None):
    with socket.create_connection((ip, port), timeout=timeout) as connection:
        connection.settimeout(timeout)
        send_request(connection, host or f'{ip}:{port}', method, path, headers, body)
        return read_response(connection)


def wait_until(condition, timeout, what):
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise CannotRun('timed out: ' + what)
