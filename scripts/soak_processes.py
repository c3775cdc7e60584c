"""The daemon processes and the clients of scripts/soak."""
import asyncio
import os
import signal
import subprocess
import time

import soak_standins as standins
from soak_judge import CONTACT_SECONDS
from soak_settings import settings_text

GRACE_SECONDS = 8.0  # from SIGTERM to SIGKILL
REQUEST_DEADLINE_SECONDS = 5.0
PROGRAM_START_SECONDS = 0.5  # from a process's start until its main function runs
CLIENT_PORT, READY_PORT, CONTROL_PORT = 8100, 8101, 8200
ROUTE_KINDS = ("safe", "once", "stream")


class Daemon:
    """One node process, a router or a core. It is restarted whenever it ends."""

    def __init__(self, fleet, name, ip, is_router):
        self.fleet, self.name, self.ip, self.is_router = fleet, name, ip, is_router
        self.settings_path = os.path.join(fleet.folder, name + ".toml")
        self.data_folder = os.path.join(fleet.folder, name)
        self.process, self.first_start = None, True
        self.supervised = True  # whether it is restarted when it ends
        self.fault_times = [time.monotonic()]  # of kills, freezes and starts
        self.terminated_at = None
        self.started_at = 0.0
        self.early_signals = set()  # sent before the program's main function can have run
        self.failed_probes = 0

    def write_settings(self):
        with open(self.settings_path, "w", encoding="ascii") as file:
            file.write(settings_text(self, self.fleet))

    def start(self):
        self.write_settings()
        self.first_start = False
        self.terminated_at = None
        self.started_at, self.early_signals = time.monotonic(), set()
        self.record_fault()
        with open(os.path.join(self.fleet.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(
                [self.fleet.binary_of(self), "node", "--settings", self.settings_path,
                 "--counters-every", "5"],
                stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def record_fault(self):
        self.fault_times.append(time.monotonic())
        if not self.is_router:
            self.fleet.checker.last_core_fault = time.monotonic()

    def faulted_since(self, when):
        return self.fault_times[-1] >= when

    def is_connected(self, now):
        return now - self.fault_times[-1] > CONTACT_SECONDS and self.terminated_at is None

    def send_signal(self, number):
        if self.process.poll() is None:
            if time.monotonic() - self.started_at < PROGRAM_START_SECONDS:
                self.early_signals.add(-number)
            self.process.send_signal(number)

    def terminate(self):
        if self.terminated_at is None and self.process.poll() is None:
            self.terminated_at = time.monotonic()
        if not self.is_router:
            self.record_fault()
        self.send_signal(signal.SIGTERM)

    async def supervise(self):
        """Kills the process if it exceeds its grace period; restarts it shortly after its end."""
        while self.supervised:
            await asyncio.sleep(0.02)
            code = self.process.poll()
            if code is None:
                if self.terminated_at and time.monotonic() - self.terminated_at > GRACE_SECONDS:
                    self.fleet.checker.report("LATE", self.name + " exceeded its grace period")
                    self.record_fault()
                    self.process.kill()
                continue
            # Before its main function runs any signal ends the process; it has read no request.
            if code not in {0, -signal.SIGKILL} | self.early_signals:
                self.fleet.checker.report("EXIT", "%s ended with %d" % (self.name, code))
            await asyncio.sleep(self.fleet.random.uniform(0.05, 0.8))
            if self.supervised:
                self.start()


class Client:
    """Sends requests one by one over a single connection for as long as it is kept open."""

    def __init__(self, fleet, number):
        self.fleet, self.number, self.request_count = fleet, number, 0
        self.ignores_close = number % 4 == 0  # keeps using a connection after `Connection: close`
        self.reader = self.writer = self.router = None

    async def connect(self):
        ready = [router for router in self.fleet.routers if router.failed_probes < 2]
        self.router = self.fleet.random.choice(ready or self.fleet.routers)
        try:
            async with asyncio.timeout(1):
                self.reader, self.writer = await asyncio.open_connection(
                    self.router.ip, CLIENT_PORT, limit=1 << 20)
        except (OSError, TimeoutError):
            self.writer = None
            await asyncio.sleep(0.1)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None

    async def run(self):
        while not self.fleet.finished:
            if self.writer is None:
                await self.connect()
            if self.writer is not None:
                await self.request()
            await asyncio.sleep(self.fleet.random.uniform(0.0, 0.15))
        self.close()

    async def request(self):
        self.request_count += 1
        attempt = "a%d-%d-%d" % (self.fleet.seed, self.number, self.request_count)
        kind = self.fleet.random.choice(ROUTE_KINDS)
        path = "/%s/%d" % (kind, self.request_count)
        body = ("body of " + attempt).encode() * self.fleet.random.randint(1, 60)
        checker = self.fleet.checker
        head = ["POST %s HTTP/1.1" % path, "Host: soak.example", "X-Attempt-Id: " + attempt,
                "X-Model: " + standins.MODEL, "X-Token-Count: 120,12", "X-Prompt-Prefix: 1a2b:100",
                "X-Time-Left-Ms: %d" % (REQUEST_DEADLINE_SECONDS * 1000),
                "Authorization: Token key-of-first",
                "Content-Length: %d" % len(body)]
        checker.record_request(attempt, kind, path, body, self.router)
        response_started = False
        try:
            self.writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
            async with asyncio.timeout(REQUEST_DEADLINE_SECONDS + 1):
                await self.writer.drain()
                checker.requests[attempt].sent_at = time.monotonic()
                start_line, headers, response_body = await standins.read_message(self.reader)
            checker.record_response(attempt, int(start_line[1]), headers, response_body)
            if headers.get("connection", "").lower() == "close" and not self.ignores_close:
                self.close()
        except TimeoutError:
            checker.record_timeout(attempt)
            self.close()
        except (OSError, EOFError, ValueError) as error:
            response_started = bool(getattr(error, "partial", b""))
            checker.record_broken_connection(attempt, response_started, type(error).__name__)
            self.close()
