"""Operators of a real fleet, who change the configuration concurrently and record a history.

Each call is one JSON line for `peppergate check-history`. An operator knows only what its calls
return. After an ambiguous response or a timeout of one second it sends the same change to another
machine, with exponential backoff; some responses are dropped on purpose.
"""
import copy
import hashlib
import http.client
import json
import random
import threading
import time

RESPONSE_TIMEOUT_SECONDS = 1.0
FIRST_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0
DROPPED_RESPONSE_SHARE = 0.15  # of the attempts, whose response isn't awaited
DROPPED_RESPONSE_TIMEOUT_SECONDS = 0.02
MAX_ATTEMPTS = 60
MAX_REDIRECTS = 2


def now_us():
    return time.monotonic_ns() // 1000


def config_digest(config):
    """Returns a digest that ignores the order of fields and of named items."""
    ordered = {}
    for field, value in config.items():
        named = isinstance(value, list) and all(
            isinstance(item, dict) and "name" in item for item in value)
        ordered[field] = sorted(value, key=lambda item: item["name"]) if named else value
    text = json.dumps(ordered, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def first_config(routes):
    """Returns a valid configuration with the given number of routes to one service."""
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


def apply_amendment(config, version, items):
    result = copy.deepcopy(config)
    result["version"] = version
    by_name = {item["name"]: index for index, item in enumerate(result["routes"])}
    for item in items:
        if item["name"] in by_name:
            result["routes"][by_name[item["name"]]] = item
        else:
            result["routes"].append(item)
    return result


class History:
    """The calls of all operators; a line is written when a call ends."""

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
    """Returns status and body of a call; follows up to two redirects."""
    for _ in range(MAX_REDIRECTS + 1):
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
    """One operator; operators choose versions and base versions independently of each other."""

    def __init__(self, name, machines, history, seed, stop, changes):
        super().__init__(daemon=True)
        self.operator_name = name
        self.machines, self.history = machines, history
        self.random = random.Random(seed)
        self.stop, self.remaining_changes = stop, changes
        self.acknowledged, self.latencies, self.change_count = 0, [], 0
        self.known_config = None  # the newest configuration that this operator has seen

    def run(self):
        while self.remaining_changes > 0 and not self.stop.is_set():
            if self.known_config is None:
                self.known_config = self.read()
                if self.known_config is None:
                    continue
            self.remaining_changes -= 1
            self.change()

    def read(self, final=False, machine=None):
        machine = machine or self.random.choice(self.machines)
        start = now_us()
        try:
            status, text = request(machine, "GET", "/config", None, 3)
            answer = json.loads(text) if status in (200, 404) else None
        except (OSError, ValueError, http.client.HTTPException):
            status, answer = 0, None
        call = {"register": "configuration", "operator": self.operator_name, "machine": machine,
                "call": "read", "start": start, "final": final or None}
        if status == 404 and answer and answer.get("outcome") == "none":
            self.history.add(**call, outcome="done", end=now_us(), version=0, digest="")
            return {"version": 0, "routes": []}
        if status != 200 or not answer:
            self.history.add(**call, outcome="unknown")
            self.stop.wait(0.05)
            return None
        config = answer["config"]
        self.history.add(**call, outcome="done", end=now_us(), version=answer["version"],
                         digest=config_digest(config))
        return config

    def change(self):
        base = self.known_config["version"]
        # The few candidates make operators often choose the same version for different changes.
        version = base + self.random.randint(1, 3)
        kind = self.random.random()
        valid = True
        item = route("route-%03d" % self.random.randint(0, 20), self.random.randint(1000, 9000))
        new_config = apply_amendment(self.known_config, version, [item])
        body = {"kind": "amend", "basedOnVersion": base,
                "amendment": {"version": version, "upsert": {"routes": [item]}}}
        if kind < 0.3:
            body = {"kind": "replace", "basedOnVersion": base, "config": new_config}
        elif kind < 0.4:
            valid = False
            new_config["routes"][0]["service"] = "nowhere"
            body = {"kind": "replace", "basedOnVersion": base, "config": new_config}
        self.change_count += 1
        change_id = "%s-%d" % (self.operator_name, self.change_count)
        body["changeId"] = change_id
        if self.send(change_id, body, base, new_config, valid) == "done":
            self.known_config = new_config
        else:
            self.known_config = None

    def send(self, change_id, body, base, new_config, valid=True):
        """Sends a change until its outcome is known or no attempt is left; returns the outcome."""
        text = json.dumps(body)
        call = {"register": "configuration", "operator": self.operator_name, "call": "change",
                "order": change_id, "base": base, "version": new_config["version"],
                "digest": config_digest(new_config), "proper": None if valid else False}
        machines = list(self.machines)
        self.random.shuffle(machines)
        backoff, started = FIRST_BACKOFF_SECONDS, time.monotonic()
        for attempt in range(MAX_ATTEMPTS):
            machine = machines[attempt % len(machines)]
            dropped = self.random.random() < DROPPED_RESPONSE_SHARE
            limit = (DROPPED_RESPONSE_TIMEOUT_SECONDS if dropped
                     else RESPONSE_TIMEOUT_SECONDS + len(text) / 1e6)
            start = now_us()
            try:
                status, answer = request(machine, "POST", "/change", text, limit)
                outcome_text = json.loads(answer).get("outcome")
            except (OSError, ValueError, http.client.HTTPException):
                status, outcome_text = 0, None
            outcome = {200: "done", 400: "refused", 409: "refused", 413: "refused"}.get(status)
            if outcome and outcome_text is not None:
                self.history.add(**call, machine=machine, outcome=outcome, start=start,
                                 end=now_us())
                if outcome == "done":
                    self.acknowledged += 1
                    self.latencies.append(time.monotonic() - started)
                return outcome
            self.history.add(**call, machine=machine, outcome="unknown", start=start)
            if self.stop.wait(backoff * self.random.uniform(0.5, 1)):
                return "unknown"
            backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)
        return "unknown"


class OperatorGroup:
    """The operators of a run, and the final read of the configuration."""

    def __init__(self, machines, path, count, changes, seed, routes=20):
        self.history, self.stop = History(path), threading.Event()
        self.machines = machines
        self.operators = [Operator("operator%d" % number, machines, self.history,
                                   seed * 100 + number, self.stop, changes)
                          for number in range(1, count + 1)]
        self.routes = routes

    def send_first_config(self):
        """Sends the first configuration; raises RuntimeError if it is not accepted."""
        config = first_config(self.routes)
        config["version"] = 1
        body = {"kind": "replace", "basedOnVersion": 0, "config": config, "changeId": "first"}
        first = self.operators[0]
        if first.send("first", body, 0, config) != "done":
            raise RuntimeError("the first configuration was not accepted")

    def start(self):
        for operator in self.operators:
            operator.start()

    def finish(self, limit=30):
        """Stops all operators, then reads the configuration from every machine."""
        for operator in self.operators:
            operator.join(limit)
        self.stop.set()
        for operator in self.operators:
            operator.join(10)
        reader = Operator("reader", self.machines, self.history, 1, threading.Event(), 0)
        for machine in self.machines:
            for _ in range(20):
                if reader.read(final=True, machine=machine) is not None:
                    break
        self.history.close()

    def statistics(self):
        latencies = sorted(each for operator in self.operators for each in operator.latencies)
        count = len(latencies)
        return {"calls": self.history.calls, "orders": sum(m.change_count for m in self.operators),
                "acknowledged": count,
                "secondsToAcknowledgement": {
                    "median": round(latencies[count // 2], 4) if count else None,
                    "99of100": round(latencies[min(count - 1, count * 99 // 100)], 4)
                    if count else None}}
