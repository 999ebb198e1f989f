"""Starts the programs of a small deployment on loopback addresses, with the templates of the deploy file.

The settings have the values that `fleetbench wire sites/lppwa.toml` prints, apart from addresses, ports and folders.
Every machine has a loopback address of its own, so all machines use the same ports, as on the platform.
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

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "agatedrumd")
ZONES = ["north-shore", "harbour", "west-bluffs", "east-flats"]

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


class CannotRun(Exception):
    """The case could not be set up, so that it shows nothing."""


def lookup(settings, path):
    value = settings
    for key in path.split("."):
        if isinstance(value, list):
            value = value[int(key)]
        else:
            value = value.get(key)
        if value is None:
            return None
    return value


def render(template, settings):
    """Fills in a template of the deploy file: {{a}}, {{a.b}}, {{a.0}} and {{a|json}} only."""

    def replace(match):
        path, _, form = match.group(1).partition("|")
        value = lookup(settings, path)
        if form == "json":
            return json.dumps(value)
        if isinstance(value, bool):
            return "true" if value else "false"
        return "" if value is None else str(value)

    return re.sub(r"\{\{([^{}]+)\}\}", replace, template)


def is_free(host, port):
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


class Record:
    """Writes what was sent, answered and run, with the seconds since the start, to a file and to standard output."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.started:8.3f} {text}"
        print(line, flush=True)
        self.file.write(line + "\n")
        self.file.flush()


class Machine:
    def __init__(self, deployment, ip, zone, has_disk):
        self.deployment = deployment
        self.ip = ip
        self.zone = zone
        self.folder = os.path.join(deployment.folder, ip)
        os.makedirs(self.folder, exist_ok=True)
        self.data = os.path.join(self.folder, "data") if has_disk else ""
        self.processes = {}
        self.bootstrap = True

    def settings(self):
        deployment = self.deployment
        return {
            "NodeName": f"edge-{self.ip}",
            "Ip": self.ip,
            "Zone": self.zone,
            "InternalPorts": [deployment.internal_port, deployment.internal_port + 15],
            "SeedNodes": [f"{ip}:{deployment.control_port}" for ip in deployment.seeds],
            "Bootstrap": self.bootstrap,
            "DataDir": self.data,
            "BindAddrs": {
                "Frontend": f"{self.ip}:{deployment.frontend_port}",
                "Ready": f"{self.ip}:{deployment.ready_port}",
                "ControlPlane": f"{self.ip}:{deployment.control_port}",
            },
            "Bounds": {"GraceS": 6, "RetryDelayMs": 1300, "CrossRackFactor": 1.5},
        }

    def start(self, role):
        with open(os.path.join(ROOT, "deploy", role + ".yaml"), encoding="utf-8") as file:
            text = render(file.read(), self.settings())
        path = os.path.join(self.folder, role + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        log = open(os.path.join(self.folder, role + ".log"), "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        self.processes[role] = subprocess.Popen([PROGRAM, "--settings", path], cwd=ROOT, stdout=log, stderr=log,
                                                stdin=subprocess.DEVNULL, env=environment)
        return self.processes[role]

    def kill(self, role):
        process = self.processes.pop(role)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def wipe(self):
        """Empties the disk. Precondition: the processes of this machine are not running."""
        shutil.rmtree(self.data, ignore_errors=True)
        self.bootstrap = False

    def is_running(self, role):
        return role in self.processes and self.processes[role].poll() is None

    def rss_mb(self, role):
        with open(f"/proc/{self.processes[role].pid}/status", encoding="utf-8") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0


class Deployment:
    """Four edge machines with a disk, in four zones; their addresses in order are the operator's list."""

    def __init__(self, machines=4):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/agatedrumd is missing: run the build line of deploy/system.toml")
        self.folder = tempfile.mkdtemp(prefix="agatedrum-review-")
        self.internal_port = random.randrange(12000, 28000, 20)
        self.frontend_port = self.internal_port + 16
        self.ready_port = self.internal_port + 17
        self.control_port = self.internal_port + 18
        prefix = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        ips = [f"{prefix}.{10 + i}" for i in range(machines)]
        for ip in ips:
            for port in (self.internal_port, self.internal_port + 15, self.frontend_port, self.ready_port,
                         self.control_port, 9101, 9102, 9103):
                if not is_free(ip, port):
                    raise CannotRun(f"{ip}:{port} is in use")
        self.seeds = ips[:3]
        self.machines = [Machine(self, ip, ZONES[i % len(ZONES)], True) for i, ip in enumerate(ips)]

    def add_machine(self, ip_last, zone):
        prefix = self.machines[0].ip.rsplit(".", 1)[0]
        machine = Machine(self, f"{prefix}.{ip_last}", zone, True)
        machine.bootstrap = False
        self.machines.append(machine)
        return machine

    def stop(self):
        for machine in self.machines:
            for process in machine.processes.values():
                if process.poll() is None:
                    process.kill()
        for machine in self.machines:
            for process in machine.processes.values():
                process.wait()
        keep = os.environ.get("KEEP_FOLDER")
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)


class Connection:
    """A caller's HTTP/1.1 connection."""

    def __init__(self, host, port, timeout=1.0):
        self.socket = socket.create_connection((host, port), timeout)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""
        self.host = host

    def send(self, *requests):
        self.socket.sendall(b"".join(requests))

    def read_answer(self, timeout):
        """Returns (status, headers, body). Raises OSError if there is none within the time."""
        deadline = time.monotonic() + timeout
        while b"\r\n\r\n" not in self.buffer:
            self._receive(deadline)
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        while len(self.buffer) < length:
            self._receive(deadline)
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return int(lines[0].split()[1]), headers, body

    def _receive(self, deadline):
        left = deadline - time.monotonic()
        if left <= 0:
            raise TimeoutError("no answer in time")
        self.socket.settimeout(left)
        data = self.socket.recv(1 << 20)
        if not data:
            raise ConnectionError("the connection was closed")
        self.buffer += data

    def close(self):
        self.socket.close()


def request(method, path, body=b"", host="operator.example"):
    head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def call(ip, port, method, path, body=b"", timeout=1.0):
    """One request on a connection of its own. Returns (status, body), or (None, reason) without an answer."""
    try:
        connection = Connection(ip, port, timeout)
    except OSError as failure:
        return None, str(failure)
    try:
        connection.send(request(method, path, body))
        status, headers, answer = connection.read_answer(timeout)
        return status, (headers.get("location", "").encode() if status == 307 else answer)
    except OSError as failure:
        return None, str(failure)
    finally:
        connection.close()


def configuration(version, routes, route_fields=None):
    """A complete configuration as PROTOCOL.md shows it, with this number of routes, which have the given fields."""
    listed = []
    for number in range(routes):
        listed.append({
            "Name": f"r-{number:05d}",
            "Host": f"nony{number % 10}.example",
            "PathPrefix": f"/pule{number:05d}/",
            "Type": "unsafe",
            "TimeoutMs": 1500,
            "TargetDurationMs": 60,
            "Priority": number % 3,
            "Backend": "huvo11a",
            "MaxAttempts": 2,
            "Stretch": 1.6,
            **(route_fields or {}),
        })
    content = {
        "Version": version,
        "Routes": listed,
        "Services": [{
            "Name": "huvo11a",
            "HealthPath": "/health",
            "MaxConnections": 64,
            "Protocol": "h1",
            "Tls": False,
            "RejectsOverload": False,
            "Standby": False,
        }],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    }
    return json.dumps(content, separators=(",", ":")).encode()


class Operator:
    """The operator of PROTOCOL.md: sends to a node, follows a 307 twice, and moves on to the next node after a failure,
    a 5xx, or a second without a response."""

    def __init__(self, deployment, machines):
        self.deployment = deployment
        self.machines = machines
        self.next = 0

    def _call_once(self, method, path, body, timeout):
        ip = self.machines[self.next % len(self.machines)].ip
        port = self.deployment.control_port
        for _ in range(3):
            status, answer = call(ip, port, method, path, body, timeout)
            if status != 307:
                return ip, status, answer
            ip, port = answer.decode().split("/")[2].split(":")
            port = int(port)
        return ip, status, answer

    def order(self, method, path, body=b"", limit=20.0, timeout=1.0):
        """Sends until there is a clear answer or the limit is reached. Returns (node, status, answer)."""
        deadline = time.monotonic() + limit
        delay = 0.05
        while True:
            ip, status, answer = self._call_once(method, path, body, timeout)
            if status is not None and status < 500 and status not in (307, 408, 429):
                return ip, status, answer
            if time.monotonic() >= deadline:
                return ip, status, answer
            self.next += 1
            time.sleep(delay)
            delay = min(1.0, delay * 2)


def admin_dump(machine, port=9102):
    status, body = call(machine.ip, port, "GET", "/v1/dump")
    return json.loads(body) if status == 200 else {}


def leader_of(deployment):
    for machine in deployment.machines:
        if machine.is_running("control"):
            dump = admin_dump(machine)
            if dump.get("lease") and dump.get("leader", "").startswith(machine.ip + ":"):
                return machine
    return None


def wait_for_leader(deployment, limit=5.0):
    """Returns the machine that leads, or None if there is none within the limit."""
    deadline = time.monotonic() + limit
    while time.monotonic() < deadline:
        leader = leader_of(deployment)
        if leader is not None:
            return leader
        time.sleep(0.05)
    return None


def run_case(folder, body):
    """Runs a case and exits with its result.

    body(deployment, record, has_trouble) returns the text of a broken rule, or None if the rule held."""
    record = Record(os.path.join(folder, "record.txt"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"case {os.path.basename(folder)}, {'with' if has_trouble else 'without'} the disruption")
    deployment = None
    try:
        deployment = Deployment()
        broken = body(deployment, record, has_trouble)
    except (CannotRun, OSError, KeyError, ValueError) as failure:
        record(f"could not run: {type(failure).__name__}: {failure}")
        raise SystemExit(EXIT_NOT_RUN) from failure
    finally:
        if deployment is not None:
            deployment.stop()
    record(f"broken: {broken}" if broken else "held")
    raise SystemExit(EXIT_BROKEN if broken else EXIT_HELD)


def start_control_group(deployment, record, routes, route_fields=None):
    """Starts all control processes and has the first configuration accepted. Returns the operator."""
    for machine in deployment.machines:
        machine.start("control")
    operator = Operator(deployment, deployment.machines)
    ip, status, answer = operator.order("PUT", "/config", configuration(1, routes, route_fields))
    record(f"PUT version 1 with {routes} routes: {status} from {ip}")
    if status != 200:
        raise CannotRun(f"the first configuration was not accepted: {status} {answer!r}")
    wait_until_voters(deployment, record)
    return operator


def wait_until_voters(deployment, record):
    """Waits until there is a leader and all running control processes have the configuration."""
    deadline = time.monotonic() + 15
    while time.monotonic() < deadline:
        leader = leader_of(deployment)
        if leader is not None:
            dump = admin_dump(leader)
            known = {name.split(":")[0] for name in dump["voters"] + dump["learners"]}
            if len(dump["voters"]) == 3 and known >= {m.ip for m in deployment.machines if m.is_running("control")}:
                record(f"leader {leader.ip}, voters {short(dump['voters'])}, learners {short(dump['learners'])}")
                return leader
        time.sleep(0.1)
    raise CannotRun("the control group did not form")


def short(identities):
    return [identity.split(":")[0] for identity in identities]


def status_line(deployment):
    """Describes every running control process, for the record only."""
    parts = []
    for machine in deployment.machines:
        if machine.is_running("control"):
            dump = admin_dump(machine)
            parts.append(f"{machine.ip}: leader {dump.get('leader', '?') or 'none'}, last entry {dump.get('lastIndex')}, "
                         f"configuration {dump.get('configNumber')}")
        else:
            parts.append(f"{machine.ip}: not running")
    return "; ".join(parts)


def read_back(operator, record, version, limit):
    """Requests the configuration from all nodes until it comes or the limit is reached.

    Returns None if it is the acknowledged version, else what is broken."""
    started = time.monotonic()
    ip, status, answer = operator.order("GET", "/config", limit=limit)
    took = time.monotonic() - started
    if status != 200:
        record(f"GET /config for {took:.1f} s at all nodes: last answer {status} from {ip}")
        return f"CONFIG: version {version} was acknowledged; read back for {took:.0f} s, it does not come"
    found = json.loads(answer)["Version"]
    record(f"GET /config: {status} from {ip}, version {found}, after {took:.1f} s")
    return None if found >= version else f"CONFIG: read back version {found} after version {version} was acknowledged"
