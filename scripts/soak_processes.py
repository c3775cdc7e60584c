"""The daemons and the clients of scripts/soak."""
import asyncio
import os
import signal
import subprocess
import time

import soak_standins as standins
from soak_judge import CONTACT
from soak_settings import settings_text

GRACE = 8.0             # seconds from SIGTERM to SIGKILL
DEADLINE = 5.0          # of each request
LOADS_WITHIN = 0.5      # seconds from a process's start until its program runs
CLIENT_PORT, READY_PORT, CONTROL_PORT = 8100, 8101, 8200
KINDS = ("safe", "once", "stream")


class Daemon:
    """One node process: a router or a core. It is started again whenever it ends."""

    def __init__(self, fleet, name, ip, router):
        self.fleet, self.name, self.ip, self.router = fleet, name, ip, router
        self.settings = os.path.join(fleet.folder, name + ".toml")
        self.data = os.path.join(fleet.folder, name)
        self.process, self.first, self.running = None, True, True
        self.troubles = [time.monotonic()]  # kills, freezes and starts
        self.terminated = None
        self.started, self.early_signals = 0.0, set()  # those sent before the program can have run
        self.fails = 0

    def write_settings(self):
        with open(self.settings, "w", encoding="ascii") as file:
            file.write(settings_text(self, self.fleet))

    def start(self):
        self.write_settings()
        self.first = False
        self.terminated = None
        self.started, self.early_signals = time.monotonic(), set()
        self.trouble()
        with open(os.path.join(self.fleet.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(
                [self.fleet.binary_of(self), "node", "--settings", self.settings, "--counters-every", "5"],
                stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def trouble(self):
        self.troubles.append(time.monotonic())
        if not self.router:
            self.fleet.judge.core_trouble = time.monotonic()

    def troubled_since(self, when):
        return self.troubles[-1] >= when

    def in_touch(self, now):
        return now - self.troubles[-1] > CONTACT and self.terminated is None

    def send(self, number):
        if self.process.poll() is None:
            if time.monotonic() - self.started < LOADS_WITHIN:
                self.early_signals.add(-number)
            self.process.send_signal(number)

    def terminate(self):
        if self.terminated is None and self.process.poll() is None:
            self.terminated = time.monotonic()
        if not self.router:
            self.trouble()
        self.send(signal.SIGTERM)

    async def watch(self):
        """Kills what outlives its grace, and starts what has ended again after a short while."""
        while self.running:
            await asyncio.sleep(0.02)
            code = self.process.poll()
            if code is None:
                if self.terminated and time.monotonic() - self.terminated > GRACE:
                    self.fleet.judge.fail("LATE", self.name + " outlived its grace")
                    self.trouble()
                    self.process.kill()
                continue
            # Before the program's first line any signal ends it by itself; it has read nothing then.
            if code not in {0, -signal.SIGKILL} | self.early_signals:
                self.fleet.judge.fail("EXIT", "%s ended with %d" % (self.name, code))
            await asyncio.sleep(self.fleet.random.uniform(0.05, 0.8))
            if self.running:
                self.start()


class Client:
    """Sends one request after the other over one connection, for as long as that is kept open."""

    def __init__(self, fleet, number):
        self.fleet, self.number, self.sent = fleet, number, 0
        self.stubborn = number % 4 == 0  # goes on with a connection that is said to close
        self.reader = self.writer = self.router = None

    async def connect(self):
        ready = [router for router in self.fleet.routers if router.fails < 2]
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
        while not self.fleet.over:
            if self.writer is None:
                await self.connect()
            if self.writer is not None:
                await self.request()
            await asyncio.sleep(self.fleet.random.uniform(0.0, 0.15))
        self.close()

    async def request(self):
        self.sent += 1
        attempt = "a%d-%d-%d" % (self.fleet.seed, self.number, self.sent)
        kind = self.fleet.random.choice(KINDS)
        path = "/%s/%d" % (kind, self.sent)
        body = ("body of " + attempt).encode() * self.fleet.random.randint(1, 60)
        judge = self.fleet.judge
        head = ["POST %s HTTP/1.1" % path, "Host: soak.example", "X-Attempt-Id: " + attempt,
                "X-Model: " + standins.MODEL, "X-Token-Count: 120,12", "X-Prompt-Prefix: 1a2b:100",
                "X-Time-Left-Ms: %d" % (DEADLINE * 1000), "Authorization: Token key-of-first",
                "Content-Length: %d" % len(body)]
        judge.begin(attempt, kind, path, body, self.router)
        began = False
        try:
            self.writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
            async with asyncio.timeout(DEADLINE + 1):
                await self.writer.drain()
                judge.requests[attempt].sent = time.monotonic()
                first, headers, answer = await standins.read_message(self.reader)
            judge.answered(attempt, int(first[1]), headers, answer)
            if headers.get("connection", "").lower() == "close" and not self.stubborn:
                self.close()
        except TimeoutError:
            judge.unanswered(attempt)
            self.close()
        except (OSError, EOFError, ValueError) as why:
            began = bool(getattr(why, "partial", b""))
            judge.ended(attempt, began, type(why).__name__)
            self.close()
