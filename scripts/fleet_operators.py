"""Operators of a real fleet: they change the configuration all day and keep a history.

Each call is one JSON line for `peppergate check-history`. An operator knows only what its calls
return. It sends an order again, unchanged, to another machine after an unclear answer or a second
of silence, with a growing pause; some answers are dropped on purpose.
"""
import copy
import hashlib
import http.client
import json
import random
import threading
import time

SILENCE_SECONDS = 1.0
FIRST_PAUSE_SECONDS = 0.05
LONGEST_PAUSE_SECONDS = 1.0
DROPPED_SHARE = 0.15  # of the attempts whose answer is not waited for
DROPPED_AFTER_SECONDS = 0.02
MOST_ATTEMPTS = 60
REDIRECTS = 2


def microseconds():
    return time.monotonic_ns() // 1000


def contents_digest(config):
    """Equal for configurations that differ only in the order of named items or fields."""
    ordered = {}
    for field, value in config.items():
        named = isinstance(value, list) and all(
            isinstance(item, dict) and "name" in item for item in value)
        ordered[field] = sorted(value, key=lambda item: item["name"]) if named else value
    text = json.dumps(ordered, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def first_config(routes):
    """A valid configuration with so many routes to one service."""
    return {
        "version": 0,
        "routes": [route("route-%03d" % number) for number in range(routes)],
        "services": [{"name": "model"}],
        "tenants": [{"name": "tenant", "urgency": 5, "keys": ["key-of-tenant"]}],
    }


def route(name, timeout=8000):
    return {"name": name, "host": name + ".example", "prefix": "/", "kind": "safe",
            "timeoutMs": timeout, "targetMs": 400, "urgency": 5, "attempts": 2, "open": False,
            "resumable": False, "service": "model"}


def amended(config, version, items):
    result = copy.deepcopy(config)
    result["version"] = version
    by_name = {item["name"]: place for place, item in enumerate(result["routes"])}
    for item in items:
        if item["name"] in by_name:
            result["routes"][by_name[item["name"]]] = item
        else:
            result["routes"].append(item)
    return result


class History:
    """The calls of all operators; lines are written as calls end."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()
        self.calls = 0

    def add(self, **call):
        line = json.dumps({key: value for key, value in call.items() if value is not None})
        with self.lock:
            self.file.write(line + "\n")
            self.calls += 1

    def close(self):
        with self.lock:
            self.file.close()


def request(address, method, path, body, timeout):
    """The status and the text of one call; redirects are followed twice."""
    for _ in range(REDIRECTS + 1):
        host, port = address.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
        try:
            connection.request(method, path, body)
            answer = connection.getresponse()
            text = answer.read()
            if answer.status != 307:
                return answer.status, text
            location = answer.getheader("Location", "")
            address, _, path = location.removeprefix("http://").partition("/")
            path = "/" + path
        finally:
            connection.close()
    return 503, b""


class Operator(threading.Thread):
    """One operator; several of them choose numbers and bases without asking each other."""

    def __init__(self, name, machines, history, seed, stop, changes):
        super().__init__(daemon=True)
        self.name_ = name
        self.machines, self.history = machines, history
        self.draw = random.Random(seed)
        self.stop, self.left = stop, changes
        self.acknowledged, self.latencies, self.orders = 0, [], 0
        self.known = None  # the newest configuration that this operator has seen

    def run(self):
        while self.left > 0 and not self.stop.is_set():
            if self.known is None:
                self.known = self.read()
                if self.known is None:
                    continue
            self.left -= 1
            self.change()

    def read(self, final=False, machine=None):
        machine = machine or self.draw.choice(self.machines)
        start = microseconds()
        try:
            status, text = request(machine, "GET", "/config", None, 3)
            answer = json.loads(text) if status in (200, 404) else None
        except (OSError, ValueError, http.client.HTTPException):
            status, answer = 0, None
        call = {"register": "configuration", "operator": self.name_, "machine": machine,
                "call": "read", "start": start, "final": final or None}
        if status == 404 and answer and answer.get("outcome") == "none":
            self.history.add(**call, outcome="done", end=microseconds(), version=0, digest="")
            return {"version": 0, "routes": []}
        if status != 200 or not answer:
            self.history.add(**call, outcome="unknown")
            self.stop.wait(0.05)
            return None
        config = answer["config"]
        self.history.add(**call, outcome="done", end=microseconds(), version=answer["version"],
                         digest=contents_digest(config))
        return config

    def change(self):
        base = self.known["version"]
        # Operators pick from the same few numbers, so that two often pick one for two changes.
        version = base + self.draw.randint(1, 3)
        kind = self.draw.random()
        proper = True
        item = route("route-%03d" % self.draw.randint(0, 20), self.draw.randint(1000, 9000))
        becomes = amended(self.known, version, [item])
        body = {"kind": "amend", "basedOnVersion": base,
                "amendment": {"version": version, "upsert": {"routes": [item]}}}
        if kind < 0.3:
            body = {"kind": "replace", "basedOnVersion": base, "config": becomes}
        elif kind < 0.4:
            proper = False
            becomes["routes"][0]["service"] = "nowhere"
            body = {"kind": "replace", "basedOnVersion": base, "config": becomes}
        self.orders += 1
        order = "%s-%d" % (self.name_, self.orders)
        body["changeId"] = order
        if self.send(order, body, base, becomes, proper) == "done":
            self.known = becomes
        else:
            self.known = None

    def send(self, order, body, base, becomes, proper=True):
        """Sends one order until its answer is clear; gives its outcome."""
        text = json.dumps(body)
        call = {"register": "configuration", "operator": self.name_, "call": "change",
                "order": order, "base": base, "version": becomes["version"],
                "digest": contents_digest(becomes), "proper": None if proper else False}
        machines = list(self.machines)
        self.draw.shuffle(machines)
        pause, began = FIRST_PAUSE_SECONDS, time.monotonic()
        for attempt in range(MOST_ATTEMPTS):
            machine = machines[attempt % len(machines)]
            dropped = self.draw.random() < DROPPED_SHARE
            limit = DROPPED_AFTER_SECONDS if dropped else SILENCE_SECONDS + len(text) / 1e6
            start = microseconds()
            try:
                status, answer = request(machine, "POST", "/change", text, limit)
                said = json.loads(answer).get("outcome")
            except (OSError, ValueError, http.client.HTTPException):
                status, said = 0, None
            outcome = {200: "done", 400: "refused", 409: "refused", 413: "refused"}.get(status)
            if outcome and said is not None:
                self.history.add(**call, machine=machine, outcome=outcome, start=start,
                                 end=microseconds())
                if outcome == "done":
                    self.acknowledged += 1
                    self.latencies.append(time.monotonic() - began)
                return outcome
            self.history.add(**call, machine=machine, outcome="unknown", start=start)
            if self.stop.wait(pause * self.draw.uniform(0.5, 1)):
                return "unknown"
            pause = min(2 * pause, LONGEST_PAUSE_SECONDS)
        return "unknown"


class Operators:
    """All operators of a day, and the reading back at its end."""

    def __init__(self, machines, path, count, changes, seed, routes=20):
        self.history, self.stop = History(path), threading.Event()
        self.machines = machines
        self.members = [Operator("operator%d" % number, machines, self.history, seed * 100 + number,
                                 self.stop, changes) for number in range(1, count + 1)]
        self.routes = routes

    def found(self):
        """Sends the first configuration until it is taken."""
        config = first_config(self.routes)
        config["version"] = 1
        body = {"kind": "replace", "basedOnVersion": 0, "config": config, "changeId": "first"}
        first = self.members[0]
        if first.send("first", body, 0, config) != "done":
            raise RuntimeError("the first configuration was not taken")

    def start(self):
        for member in self.members:
            member.start()

    def finish(self, limit=30):
        """Ends all operators, then reads the configuration back from every machine."""
        for member in self.members:
            member.join(limit)
        self.stop.set()
        for member in self.members:
            member.join(10)
        reader = Operator("reader", self.machines, self.history, 1, threading.Event(), 0)
        for machine in self.machines:
            for _ in range(20):
                if reader.read(final=True, machine=machine) is not None:
                    break
        self.history.close()

    def figures(self):
        latencies = sorted(each for member in self.members for each in member.latencies)
        count = len(latencies)
        return {"calls": self.history.calls, "orders": sum(m.orders for m in self.members),
                "acknowledged": count,
                "secondsToAcknowledgement": {
                    "median": round(latencies[count // 2], 4) if count else None,
                    "99of100": round(latencies[min(count - 1, count * 99 // 100)], 4)
                    if count else None}}
