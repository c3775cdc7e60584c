"""One seed of scripts/soak: its processes, its stand-ins, and the faults and changes injected."""
import asyncio
import json
import os
import random
import signal
import tempfile
import time

import soak_standins as standins
from soak_judge import RuleChecker
from soak_processes import (CONTROL_PORT, GRACE_SECONDS, READY_PORT, REQUEST_DEADLINE_SECONDS,
                            Client, Daemon)
from soak_settings import first_config

QUIET_SECONDS = 8.0  # at the end, without any fault


class Fleet:
    """The processes of one seed, their stand-ins, and the actions on them."""

    def __init__(self, options, seed):
        self.options, self.seed = options, seed
        self.random, self.checker = random.Random(seed), RuleChecker()
        self.binary = os.path.abspath(options.binary)
        self.folder = tempfile.mkdtemp(prefix="peppergate-soak-")
        block = 10 + seed % 200
        self.routers = [Daemon(self, "router%d" % n, "127.%d.1.%d" % (block, n), True)
                        for n in range(1, options.routers + 1)]
        self.cores = [Daemon(self, "core%d" % n, "127.%d.2.%d" % (block, n), False)
                      for n in range(1, options.cores + 1)]
        self.engines = [standins.Engine(self, n, "127.%d.3.%d" % (block, n), 8300)
                        for n in range(1, options.engines + 1)]
        self.platform_list = standins.PlatformList(self, "127.%d.4.1" % block, 8400)
        self.edition, self.version, self.finished = 0, 1, False
        self.core_fault_lock = asyncio.Lock()
        self.operator_lock = asyncio.Lock()

    def daemons(self):
        return self.cores + self.routers

    def binary_of(self, _daemon):
        """Returns the program that a daemon runs."""
        return self.binary

    async def call_control(self, method, path, body=None, headers=(), timeout=15.0):
        """Sends an operator's call to random cores until the outcome is known; else status 0."""
        end, core = time.monotonic() + timeout, self.random.choice(self.cores)
        while time.monotonic() < end and not self.finished:
            address = "%s:%d" % (core.ip, CONTROL_PORT)
            status, response_body = await standins.call(address, method, path, body, headers)
            if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                return status, response_body
            core = self.random.choice(self.cores)
            await asyncio.sleep(0.1)
        return 0, b""

    async def change_config(self):
        """Submits a change to the newest configuration; reads it back if the response is lost."""
        async with self.operator_lock:
            base, edition = self.edition, self.edition + self.random.randint(1, 4)
            if base == 0:
                status, _ = await self.call_control("POST", "/peppergate/Config.Replace",
                                                    first_config(edition),
                                                    [("X-Based-On", "0")], 30)
            else:
                tenant = {"name": "tenant%d" % edition, "access_keys": ["key-of-%d" % edition],
                          "urgency": 5, "isolated": False}
                body = {"edition": edition, "upsert": {"senders": [tenant]}}
                status, _ = await self.call_control("POST", "/peppergate/Config.Amend", body,
                                                    [("X-Based-On", str(base))])
            if status == 200:
                self.edition = edition
                self.checker.record_acknowledged(edition)
                self.checker.count("changes")
            elif status == 0 and not self.finished:
                self.checker.count("changes without an answer")
                self.edition = max(self.edition, await self.read_newest())
            elif not self.finished:
                self.checker.report("CONFIG", "change %d based on %d: status %d" % (
                    edition, base, status))

    async def read_newest(self):
        status, response_body = await self.call_control("GET", "/peppergate/Config.Read",
                                                        timeout=20)
        return json.loads(response_body)["edition"] if status == 200 else 0

    async def read_random_core(self):
        core, asked = self.random.choice(self.cores), time.monotonic()
        status, response_body = await standins.call("%s:%d" % (core.ip, CONTROL_PORT), "GET",
                                                    "/peppergate/Config.Read")
        if status == 200:
            self.checker.count("reads")
            self.checker.check_read(json.loads(response_body)["edition"], asked, core.name)

    async def announce_weights(self):
        self.version += 1
        version = self.version
        status, _ = await self.call_control("POST", "/peppergate/version-put",
                                            {"model": standins.MODEL, "edition": version})
        if 200 <= status < 300:
            self.checker.record_weights(version)
            self.checker.count("namings")

    async def poll_readiness(self):
        while not self.finished:
            for router in self.routers:
                status, _ = await standins.call("%s:%d" % (router.ip, READY_PORT), "GET",
                                                "/peppergate/ready", timeout=0.5)
                router.failed_probes = 0 if status == 200 else router.failed_probes + 1
            await asyncio.sleep(0.5)

    # -- actions on routers --
    async def term_router(self):
        router = self.random.choice(self.routers)
        router.terminate()
        if self.random.random() < 0.3:
            await asyncio.sleep(self.random.uniform(0, 3))
            router.send_signal(signal.SIGTERM)

    async def roll_routers(self):
        gap = self.random.uniform(0.3, 2)
        for router in self.routers:
            router.terminate()
            await asyncio.sleep(gap)

    async def reload_settings(self):
        daemon = self.random.choice(self.daemons())
        daemon.write_settings()
        for _ in range(self.random.randint(1, 4)):
            daemon.send_signal(signal.SIGHUP)
            await asyncio.sleep(self.random.uniform(0, 0.5))
        if daemon.is_router and self.random.random() < 0.4:
            daemon.terminate()

    async def kill_router(self):
        router = self.random.choice(self.routers)
        router.record_fault()
        router.process.kill()

    async def kill_routers(self):
        for router in self.routers:
            router.record_fault()
            router.process.kill()

    async def freeze_router(self):
        await self.freeze(self.random.choice(self.routers))

    async def freeze(self, daemon):
        process = daemon.process
        daemon.record_fault()
        daemon.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 4))
        daemon.record_fault()
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    # -- actions on cores: one at a time, or all processes at once --
    async def inject_core_fault(self):
        async with self.core_fault_lock:
            core = self.random.choice(self.cores)
            fault = self.random.choice(("kill", "term", "freeze", "all"))
            if fault == "kill":
                core.record_fault()
                core.process.kill()
            elif fault == "term":
                core.terminate()
            elif fault == "freeze":
                await self.freeze(core)
            else:
                for any_core in self.cores:
                    any_core.record_fault()
                    any_core.process.kill()
            await asyncio.sleep(5)

    # -- actions on engines --
    async def crash_engine(self):
        engine = self.random.choice(self.engines)
        if not engine.is_up:
            return
        engine.crash()
        await asyncio.sleep(self.random.uniform(0.3, 9))
        await engine.start_process()

    async def drain_engine(self):
        engine = self.random.choice(self.engines)
        if not engine.is_up or engine.draining:
            return
        engine.draining = True
        await asyncio.sleep(4.5)
        engine.crash()
        await asyncio.sleep(0.5)
        await engine.start_process()

    async def change_burst(self):
        for _ in range(self.random.randint(2, 8)):
            await self.change_config()

    async def run_actions(self):
        """Starts random actions one after another; each continues while the next ones start."""
        # The labels appear in the report's counts.
        actions = [("term_router", self.term_router), ("term_router", self.term_router),
                   ("roll_routers", self.roll_routers), ("hang_up", self.reload_settings),
                   ("kill_router", self.kill_router), ("kill_routers", self.kill_routers),
                   ("freeze_router", self.freeze_router), ("trouble_core", self.inject_core_fault),
                   ("crash_engine", self.crash_engine), ("crash_engine", self.crash_engine),
                   ("drain_engine", self.drain_engine), ("storm", self.change_burst),
                   ("storm", self.change_burst), ("change", self.change_config),
                   ("name_weights", self.announce_weights), ("name_weights", self.announce_weights),
                   ("read_anywhere", self.read_random_core),
                   ("read_anywhere", self.read_random_core)]
        end, running = time.monotonic() + self.options.seconds, []
        while time.monotonic() < end:
            label, action = self.random.choice(actions)
            self.checker.count("did " + label)
            running.append(asyncio.create_task(action()))
            await asyncio.sleep(self.random.expovariate(2.5))
        await asyncio.wait(running)
        for task in running:
            if task.exception():
                self.checker.report("TOOL", repr(task.exception()))

    async def check_recovery(self):
        """Checks that traffic is served again and that the newest configuration can be read."""
        await asyncio.sleep(QUIET_SECONDS)
        since = time.monotonic()
        await asyncio.sleep(3)
        share = self.checker.served_share_since(since)
        if share < 0.95:
            self.checker.report("RECOVER", "%.3f of the last attempts were served" % share)
        newest = await self.read_newest()
        if newest < self.edition:
            self.checker.report("CONFIG", "read version %d after %d was acknowledged" % (
                newest, self.edition))

    async def start(self):
        await self.platform_list.start()
        for engine in self.engines:
            await engine.start_process()
        for daemon in self.daemons():
            daemon.start()
        supervisors = [asyncio.create_task(daemon.supervise()) for daemon in self.daemons()]
        await self.change_config()
        if self.edition == 0:
            self.checker.report("RECOVER", "the first configuration was never accepted")
        return supervisors + [asyncio.create_task(self.poll_readiness())]

    async def run(self):
        tasks = await self.start()
        await asyncio.sleep(3)
        clients = [asyncio.create_task(Client(self, n).run()) for n in range(self.options.clients)]
        await self.run_actions()
        await self.check_recovery()
        self.finished = True
        await asyncio.wait(clients + tasks[-1:], timeout=REQUEST_DEADLINE_SECONDS + 2)
        for task in clients + tasks:
            if task.done() and not task.cancelled() and task.exception():
                self.checker.report("TOOL", repr(task.exception()))
        await self.stop(tasks)

    async def stop(self, tasks):
        for daemon in self.daemons():
            daemon.supervised = False
            daemon.send_signal(signal.SIGCONT)
            daemon.send_signal(signal.SIGTERM)
        end = time.monotonic() + GRACE_SECONDS
        while time.monotonic() < end and any(d.process.poll() is None for d in self.daemons()):
            await asyncio.sleep(0.05)
        for daemon in self.daemons():
            if daemon.process.poll() is None:
                self.checker.report("LATE", daemon.name + " exceeded its grace period at the end")
        self.kill_all()
        for task in tasks:
            task.cancel()
        for server in self.engines + [self.platform_list]:
            server.stop()

    def kill_all(self):
        for daemon in self.daemons():
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.kill()
                daemon.process.wait()
