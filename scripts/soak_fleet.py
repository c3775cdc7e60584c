"""One seed of scripts/soak: its processes, its stand-ins, and what is done to them."""
import asyncio
import json
import os
import random
import signal
import tempfile
import time

import soak_standins as standins
from soak_judge import Judge
from soak_processes import CONTROL_PORT, DEADLINE, GRACE, READY_PORT, Client, Daemon
from soak_settings import first_config

QUIET = 8.0             # seconds at the end without any trouble


class Fleet:
    """The processes of one seed, their stand-ins, and what is done to them."""

    def __init__(self, options, seed):
        self.options, self.seed = options, seed
        self.random, self.judge = random.Random(seed), Judge()
        self.binary = os.path.abspath(options.binary)
        self.folder = tempfile.mkdtemp(prefix="peppergate-soak-")
        block = 10 + seed % 200
        self.routers = [Daemon(self, "router%d" % n, "127.%d.1.%d" % (block, n), True)
                        for n in range(1, options.routers + 1)]
        self.cores = [Daemon(self, "core%d" % n, "127.%d.2.%d" % (block, n), False)
                      for n in range(1, options.cores + 1)]
        self.engines = [standins.Engine(self, n, "127.%d.3.%d" % (block, n), 8300)
                        for n in range(1, options.engines + 1)]
        self.list = standins.PlatformList(self, "127.%d.4.1" % block, 8400)
        self.edition, self.version, self.over = 0, 1, False
        self.core_busy = asyncio.Lock()
        self.operator_busy = asyncio.Lock()

    def daemons(self):
        return self.cores + self.routers

    def binary_of(self, _daemon):
        """The program that a process runs."""
        return self.binary

    async def control(self, method, path, body=None, headers=(), patience=15.0):
        """A call of the operator: sent to any core until its answer is clear; 0 if it never is."""
        end, core = time.monotonic() + patience, self.random.choice(self.cores)
        while time.monotonic() < end and not self.over:
            status, answer = await standins.call("%s:%d" % (core.ip, CONTROL_PORT), method, path, body,
                                                 headers)
            if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                return status, answer
            core = self.random.choice(self.cores)
            await asyncio.sleep(0.1)
        return 0, b""

    async def change(self):
        """One configuration on top of the newest; a lost answer is made clear by reading it back."""
        async with self.operator_busy:
            base, edition = self.edition, self.edition + self.random.randint(1, 4)
            if base == 0:
                status, _ = await self.control("POST", "/peppergate/Config.Replace",
                                               first_config(edition), [("X-Based-On", "0")], 30)
            else:
                tenant = {"name": "tenant%d" % edition, "access_keys": ["key-of-%d" % edition],
                          "urgency": 5, "isolated": False}
                body = {"edition": edition, "upsert": {"senders": [tenant]}}
                status, _ = await self.control("POST", "/peppergate/Config.Amend", body,
                                               [("X-Based-On", str(base))])
            if status == 200:
                self.edition = edition
                self.judge.acknowledged(edition)
                self.judge.count("changes")
            elif status == 0 and not self.over:
                self.judge.count("changes without an answer")
                self.edition = max(self.edition, await self.read_newest())
            elif not self.over:
                self.judge.fail("CONFIG", "change %d on %d: %d" % (edition, base, status))

    async def read_newest(self):
        status, answer = await self.control("GET", "/peppergate/Config.Read", patience=20)
        return json.loads(answer)["edition"] if status == 200 else 0

    async def read_anywhere(self):
        core, asked = self.random.choice(self.cores), time.monotonic()
        status, answer = await standins.call("%s:%d" % (core.ip, CONTROL_PORT), "GET",
                                             "/peppergate/Config.Read")
        if status == 200:
            self.judge.count("reads")
            self.judge.read_back(json.loads(answer)["edition"], asked, core.name)

    async def name_weights(self):
        self.version += 1
        version = self.version
        status, _ = await self.control("POST", "/peppergate/version-put",
                                       {"model": standins.MODEL, "edition": version})
        if 200 <= status < 300:
            self.judge.named(version)
            self.judge.count("namings")

    async def poll_ready(self):
        while not self.over:
            for router in self.routers:
                status, _ = await standins.call("%s:%d" % (router.ip, READY_PORT), "GET",
                                                "/peppergate/ready", timeout=0.5)
                router.fails = 0 if status == 200 else router.fails + 1
            await asyncio.sleep(0.5)

    # -- what is done to routers --
    async def term_router(self):
        router = self.random.choice(self.routers)
        router.terminate()
        if self.random.random() < 0.3:
            await asyncio.sleep(self.random.uniform(0, 3))
            router.send(signal.SIGTERM)

    async def roll_routers(self):
        gap = self.random.uniform(0.3, 2)
        for router in self.routers:
            router.terminate()
            await asyncio.sleep(gap)

    async def hang_up(self):
        daemon = self.random.choice(self.daemons())
        daemon.write_settings()
        for _ in range(self.random.randint(1, 4)):
            daemon.send(signal.SIGHUP)
            await asyncio.sleep(self.random.uniform(0, 0.5))
        if daemon.router and self.random.random() < 0.4:
            daemon.terminate()

    async def kill_router(self):
        router = self.random.choice(self.routers)
        router.trouble()
        router.process.kill()

    async def kill_routers(self):
        for router in self.routers:
            router.trouble()
            router.process.kill()

    async def freeze_router(self):
        await self.freeze(self.random.choice(self.routers))

    async def freeze(self, daemon):
        process = daemon.process
        daemon.trouble()
        daemon.send(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 4))
        daemon.trouble()
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    # -- what is done to cores: one at a time, or all processes at once --
    async def trouble_core(self):
        async with self.core_busy:
            core = self.random.choice(self.cores)
            what = self.random.choice(("kill", "term", "freeze", "all"))
            if what == "kill":
                core.trouble()
                core.process.kill()
            elif what == "term":
                core.terminate()
            elif what == "freeze":
                await self.freeze(core)
            else:
                for one in self.cores:
                    one.trouble()
                    one.process.kill()
            await asyncio.sleep(5)

    # -- what is done to engines --
    async def crash_engine(self):
        engine = self.random.choice(self.engines)
        if not engine.up:
            return
        engine.crash()
        await asyncio.sleep(self.random.uniform(0.3, 9))
        await engine.begin()

    async def drain_engine(self):
        engine = self.random.choice(self.engines)
        if not engine.up or engine.draining:
            return
        engine.draining = True
        await asyncio.sleep(4.5)
        engine.crash()
        await asyncio.sleep(0.5)
        await engine.begin()

    async def storm(self):
        for _ in range(self.random.randint(2, 8)):
            await self.change()

    async def act(self):
        """Draws one thing after the other; each goes on while the next ones begin."""
        deeds = [self.term_router, self.term_router, self.roll_routers, self.hang_up, self.kill_router,
                 self.kill_routers, self.freeze_router, self.trouble_core, self.crash_engine,
                 self.crash_engine, self.drain_engine, self.storm, self.storm, self.change,
                 self.name_weights, self.name_weights, self.read_anywhere, self.read_anywhere]
        end, running = time.monotonic() + self.options.seconds, []
        while time.monotonic() < end:
            deed = self.random.choice(deeds)
            self.judge.count("did " + deed.__name__)
            running.append(asyncio.create_task(deed()))
            await asyncio.sleep(self.random.expovariate(2.5))
        await asyncio.wait(running)
        for task in running:
            if task.exception():
                self.judge.fail("TOOL", repr(task.exception()))

    async def settle(self):
        """All is whole again: traffic is served, and the newest configuration is read back."""
        await asyncio.sleep(QUIET)
        since = time.monotonic()
        await asyncio.sleep(3)
        share = self.judge.served_since(since)
        if share < 0.95:
            self.judge.fail("RECOVER", "%.3f of the last tries were served" % share)
        newest = await self.read_newest()
        if newest < self.edition:
            self.judge.fail("CONFIG", "read back %d, %d was acknowledged" % (newest, self.edition))

    async def begin(self):
        await self.list.start()
        for engine in self.engines:
            await engine.begin()
        for daemon in self.daemons():
            daemon.start()
        watches = [asyncio.create_task(daemon.watch()) for daemon in self.daemons()]
        await self.change()
        if self.edition == 0:
            self.judge.fail("RECOVER", "the first configuration was never taken")
        return watches + [asyncio.create_task(self.poll_ready())]

    async def run(self):
        tasks = await self.begin()
        await asyncio.sleep(3)
        clients = [asyncio.create_task(Client(self, n).run()) for n in range(self.options.clients)]
        await self.act()
        await self.settle()
        self.over = True
        await asyncio.wait(clients + tasks[-1:], timeout=DEADLINE + 2)
        for task in clients + tasks:
            if task.done() and not task.cancelled() and task.exception():
                self.judge.fail("TOOL", repr(task.exception()))
        await self.end(tasks)

    async def end(self, tasks):
        for daemon in self.daemons():
            daemon.running = False
            daemon.send(signal.SIGCONT)
            daemon.send(signal.SIGTERM)
        end = time.monotonic() + GRACE
        while time.monotonic() < end and any(d.process.poll() is None for d in self.daemons()):
            await asyncio.sleep(0.05)
        for daemon in self.daemons():
            if daemon.process.poll() is None:
                self.judge.fail("LATE", daemon.name + " outlived its grace at the end")
        self.kill()
        for task in tasks:
            task.cancel()
        for server in self.engines + [self.list]:
            server.stop()

    def kill(self):
        for daemon in self.daemons():
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.kill()
                daemon.process.wait()
