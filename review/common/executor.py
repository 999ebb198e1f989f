"""An executor (backend server) of PROTOCOL.md with CommandMode "call", as a sound one behaves."""

import json
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from .deployment import call

MAX_HOLD_MS = 1000  # MaxHoldMs
STOP_MS = 50  # StopTimeoutMs
HEARTBEAT_S = 1.5  # HeartbeatMs


class QuietServer(ThreadingHTTPServer):
    daemon_threads = True

    def __init__(self, *arguments):
        self.open_connections = set()
        super().__init__(*arguments)

    def process_request(self, request, client_address):
        self.open_connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.open_connections.discard(request)
        super().shutdown_request(request)

    def crash(self):
        """Stops listening and breaks all connections."""
        self.shutdown()
        self.server_close()
        for connection in list(self.open_connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def handle_error(self, request, client_address):
        pass  # a caller has closed its connection


class Run:
    def __init__(self, task, number, spec, ends_at):
        self.task = task
        self.number = number
        self.spec = spec
        self.started = time.monotonic()
        self.ends_at = ends_at
        self.stops_at = None


class Executor:
    """Runs tasks whose Spec is the number of milliseconds of work. Records every run as
    (task, number, executor, start, end, how) in the list that it is given."""

    def __init__(self, ip, port, agent_ip, agent_port, zone, labels, runs):
        self.ip, self.port = ip, port
        self.agent = (agent_ip, agent_port)
        self.zone, self.labels = zone, labels
        self.all_runs = runs
        self.id = f"i-{ip.replace('.', '')}"
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic()
        self.lock = threading.Condition()
        self.running = {}
        self.highest = {}
        self.ended = []
        self.end_number = 0
        self.fence = 0
        self.deadline_ms = 0
        self.sequence = 0
        self.is_stopped = False
        self.lose_start = None  # called with each start order; if it returns True, the order gets no answer
        executor = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                if self.path == "/run-start" and executor.lose_start and executor.lose_start(executor, body):
                    self.close_connection = True
                    time.sleep(2)  # longer than the caller waits
                    return
                if self.headers.get("Agatedrum-Expect-Instance") not in (None, executor.id):
                    status, answer = 421, {}
                else:
                    status, answer = executor.handle(self.path, body)
                answer.setdefault("ClockMs", executor.clock_ms())
                text = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            def setup(self):
                super().setup()
                self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

            def log_message(self, *arguments):
                pass

        self.handler = Handler
        self.is_down = False
        self.listen()
        for target in (self.beat, self.work):
            threading.Thread(target=target, daemon=True).start()

    def listen(self):
        self.server = QuietServer((self.ip, self.port), self.handler)
        threading.Thread(target=self.server.serve_forever, args=(0.01,), daemon=True).start()

    def stop(self):
        self.is_stopped = True
        self.server.shutdown()

    def crash(self):
        self.is_down = True
        self.server.crash()
        with self.lock:
            for run in list(self.running.values()):
                self.end(run, "crashed")

    def restart(self, late_order):
        """Starts again under the same id after a crash: nothing runs, all counts start anew, and no fencing token has
        been seen. The late order is the first call that arrives then. Returns the answer to it."""
        with self.lock:
            self.running, self.highest, self.ended = {}, {}, []
            self.end_number = self.fence = self.deadline_ms = self.sequence = 0
            self.born = int(time.time() * 1000)
            self.zero = time.monotonic()
            answer = self.handle("/run-start", late_order)
        self.listen()
        self.is_down = False
        return answer

    def clock_ms(self):
        return int((time.monotonic() - self.zero) * 1000) + 1000

    def beat(self):
        due = 0.0
        born = None
        while not self.is_stopped:
            time.sleep(0.005)
            # A new incarnation registers at once.
            if self.is_down or (born == self.born and time.monotonic() < due):
                continue
            born = self.born
            self.sequence += 1
            body = {
                "Backend": "huvo11a", "Address": f"{self.ip}:{self.port}", "Zone": self.zone, "Version": "v1",
                "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
                "Capacity": {"Cpu": 64000, "MemMb": 262144, "Gpus": 0}, "Labels": self.labels,
                "ClockMs": self.clock_ms(), "Sequence": self.sequence, "born": born,
            }
            status, _ = call(*self.agent, "PUT", f"/instances/{self.id}", json.dumps(body).encode())
            due = time.monotonic() + (HEARTBEAT_S if status == 200 else 0.1)

    def work(self):
        while not self.is_stopped:
            time.sleep(0.001)
            with self.lock:
                now = time.monotonic()
                has_lapsed = self.clock_ms() >= self.deadline_ms
                for run in list(self.running.values()):
                    if run.stops_at is not None and now >= run.stops_at:
                        self.end(run, "stopped")
                    elif now >= run.ends_at:
                        self.end(run, "done")
                    elif has_lapsed:
                        self.end(run, "lapsed")

    def end(self, run, how):
        del self.running[run.task]
        self.end_number += 1
        self.ended.append([self.end_number, run.task, run.number, how, ""])
        self.all_runs.append((run.task, run.number, self.id, run.started, time.monotonic(), how))
        self.lock.notify_all()

    def extend(self, body):
        if "DeadlineMs" in body:
            self.deadline_ms = max(self.deadline_ms, min(body["DeadlineMs"], self.clock_ms() + MAX_HOLD_MS))

    def handle(self, path, body):
        with self.lock:  # reentrant
            if body.get("FencingToken", 0) < self.fence:
                return 409, {"Reason": "fence"}
            self.fence = body.get("FencingToken", 0)
            if path == "/run-start":
                return self.start(body)
            if path == "/run-stop":
                task, number = body["Task"], body["RunId"]
                self.highest[task] = max(self.highest.get(task, 0), number)
                run = self.running.get(task)
                if run is not None and run.number <= number and run.stops_at is None:
                    run.stops_at = time.monotonic() + STOP_MS / 2000
                return 200, {}
            if path == "/hold":
                self.extend(body)
                self.ended = [row for row in self.ended if row[0] > body["AckCursor"]]
                if not self.ended and body.get("WaitMs"):
                    self.lock.wait(body["WaitMs"] / 1000)
                rows = [[run.task, run.number, "", int(100 * (time.monotonic() - run.started)
                                                       / (run.ends_at - run.started)), 1000]
                        for run in self.running.values()]
                return 200, {"Running": rows, "EndedRuns": self.ended[:500], "born": self.born}
        return 404, {}

    def start(self, body):
        task, number = body["Task"], body["RunId"]
        run = self.running.get(task)
        if run is not None and run.number == number:
            return 200, {}
        if body["DeadlineMs"] <= self.clock_ms():
            return 409, {"Reason": "late"}
        self.extend(body)
        if run is not None or number <= self.highest.get(task, 0):
            return 409, {"Reason": "old"}
        self.highest[task] = number
        work_s = int(body["Spec"]) / 1000
        self.running[task] = Run(task, number, body["Spec"], time.monotonic() + work_s)
        return 200, {}
