"""Stand-ins for scripts/soak: an HTTP/1.1 server, model engines and the platform's engine list."""
import asyncio
import json
import random
import time

MODEL = "soakmodel"
SERVICE = "model"
WEIGHTS_LOAD_SECONDS = 0.5


class ConnectionBroken(Exception):
    """The connection ended, or the data received is not HTTP."""


async def read_message(reader):
    """Reads an HTTP message: the three parts of its start line, lower-case headers, the body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    start_line = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return start_line, headers, body
    return start_line, headers, await reader.readexactly(int(headers.get("content-length", 0)))


def response_bytes(status, body=b"", headers=()):
    lines = ["HTTP/1.1 %d Any" % status, "Content-Length: %d" % len(body)]
    lines += ["%s: %s" % pair for pair in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(address, method, path, body=None, headers=(), timeout=2.0):
    """Makes a call on a new connection; returns status and body, status 0 without a response."""
    host, port = address.split(":")
    payload = b"" if body is None else json.dumps(body).encode()
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + address, "Connection: close",
             "Content-Type: application/json", "Content-Length: %d" % len(payload)]
    lines += ["%s: %s" % pair for pair in headers]
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + payload)
            start_line, _, response_body = await read_message(reader)
            return int(start_line[1]), response_body
    except (OSError, EOFError, ValueError, TimeoutError, asyncio.LimitOverrunError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


class Server:
    """Accepts connections until it is stopped; stopping aborts all of them."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.address = "%s:%d" % (host, port)
        self.server, self.writers = None, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 20)

    def stop(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                start_line, headers, body = await read_message(reader)
                if not await self.respond(start_line, headers, body, writer):
                    break
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Engine(Server):
    """A model engine: runs requests, loads weights on order, and reports runs to the checker."""

    def __init__(self, fleet, number, host, port):
        super().__init__(host, port)
        self.fleet, self.number, self.incarnation = fleet, number, 0
        self.weights, self.loaded_at, self.target_weights = 1, 0.0, 1
        self.order_count, self.draining, self.is_up = 0, False, False
        self.random = random.Random(fleet.seed * 1000 + number)

    @property
    def id(self):
        return "i-%d-%d" % (self.number, self.incarnation)

    async def start_process(self):
        """Starts a new process with the previous one's weights, unless the engine is up."""
        if self.is_up:
            return
        self.incarnation += 1
        self.order_count, self.draining, self.is_up = 0, False, True
        self.target_weights, self.loaded_at = self.weights, 0.0
        await self.start()

    def crash(self):
        self.is_up = False
        self.stop()

    def loading(self):
        if self.target_weights != self.weights and time.monotonic() >= self.loaded_at:
            self.weights = self.target_weights
        return self.target_weights != self.weights

    def list_entry(self):
        return {"id": self.id, "line": SERVICE, "address": self.address, "zone": "z", "edition": "v1",
                "berths": 64, "state": "draining" if self.draining else "accepting",
                "warmup_left_ms": 0, "models": [{"name": MODEL, "edition": self.weights}]}

    async def respond(self, start_line, headers, body, writer):
        path = start_line[1].split("?")[0]
        if path == "/peppergate/report":
            busy = self.loading()
            report = {"stage": "whole_route", "models": [{"name": MODEL, "edition": self.weights}],
                      "busy": busy, "call_count": self.order_count, "queued": 0, "in_transit": 0,
                      "kv_in_use": 0, "kv_capacity": 100000, "handles": 0}
            writer.write(response_bytes(200, json.dumps(report).encode()))
        elif path == "/peppergate/order":
            writer.write(response_bytes(self.handle_order(json.loads(body))))
        elif path == "/peppergate/kv-events":
            await asyncio.sleep(0.3)
            events = {"epoch": self.incarnation, "next_token": 0, "lost": False, "events": []}
            writer.write(response_bytes(200, json.dumps(events).encode()))
        elif path == "/peppergate/kv-list":
            held = {"epoch": self.incarnation, "next_token": 0, "held": []}
            writer.write(response_bytes(200, json.dumps(held).encode()))
        elif path == "/health":
            writer.write(response_bytes(200, b"", [("X-Delivered-By", self.id)]))
        else:
            return await self.handle_request(start_line, headers, body, writer)
        return True

    def handle_order(self, body):
        if self.loading():
            return 409
        if body["edition"] <= self.weights:
            return 200
        self.order_count += 1
        self.target_weights = body["edition"]
        self.loaded_at = time.monotonic() + WEIGHTS_LOAD_SECONDS
        return 202

    def refuse(self, status, attempt, writer):
        writer.write(response_bytes(status, b"", [
            ("X-Attempt-Id", attempt), ("X-Not-Delivered", "yes"),
            ("X-Weight-Versions", str(self.weights))]))
        return True

    async def handle_request(self, start_line, headers, body, writer):
        attempt = headers.get("x-attempt-id", "")
        checker = self.fleet.checker
        checker.record_arrival(attempt)
        if headers.get("x-deliver-to") != self.id:
            return self.refuse(421, attempt, writer)
        if self.loading():
            return self.refuse(503, attempt, writer)
        if headers.get("x-expect-version", str(self.weights)) != str(self.weights):
            return self.refuse(421, attempt, writer)
        checker.record_run(attempt, start_line[1], body, headers, self)
        incarnation = self.incarnation
        head = [("X-Attempt-Id", attempt), ("X-Postmark", "p-" + attempt),
                ("X-Weight-Versions", str(self.weights)), ("X-Engine-Load", "1,0,64")]
        work_seconds = self.random.uniform(0.005, 0.12)
        if "/stream/" not in start_line[1]:
            await asyncio.sleep(work_seconds)
            writer.write(response_bytes(200, b"whole " + attempt.encode(), head))
            return self.is_up and incarnation == self.incarnation
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "Content-Type: text/event-stream"]
        writer.write(("\r\n".join(lines + ["%s: %s" % pair for pair in head]) + "\r\n\r\n").encode())
        first_event = int(headers.get("last-event-id") or 0) + 1
        for event in range(first_event, checker.EVENTS_PER_STREAM + 1):
            await asyncio.sleep(work_seconds / 3)
            text = ("id: %d\ndata: %s\n\n" % (event, attempt)).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return self.is_up and incarnation == self.incarnation


class PlatformList(Server):
    """The platform's list of running engines."""

    def __init__(self, fleet, host, port):
        super().__init__(host, port)
        self.fleet = fleet

    async def respond(self, start_line, headers, body, writer):
        stations = [engine.list_entry() for engine in self.fleet.engines if engine.is_up]
        page = {"stations": stations, "next_token": None}
        writer.write(response_bytes(200, json.dumps(page).encode()))
        return True
