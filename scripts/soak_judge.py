"""The rules of scripts/soak, checked against what clients, engines and the operator observed."""
import time

# Time after a request's last byte in which its connection may close before the request is read.
LOSS_SLACK_SECONDS = 0.2
# Time without a fault after which a process counts as connected again.
CONTACT_SECONDS = 3.0
# Time from an acknowledgement after which no core may answer with an older version.
CONFIG_APPLY_SECONDS = 2.0
# Time from an announcement of weights after which no request may start on older ones.
VERSION_BOUND_SECONDS = 7.0


class Request:
    """One attempt of a client, from the last byte sent to its response."""

    def __init__(self, kind, path, body, router):
        self.kind, self.path, self.body, self.router = kind, path, body, router
        self.sent_at = time.monotonic()
        self.arrivals, self.runs, self.refused_as_not_run = 0, 0, False
        self.engine, self.incarnation = None, 0

    def engine_crashed(self):
        if self.engine is None:
            return False
        return not self.engine.is_up or self.engine.incarnation != self.incarnation

    def router_faulted(self):
        return self.router.faulted_since(self.sent_at - CONTACT_SECONDS)


class RuleChecker:
    """Collects violations of the rules; `counts` holds how often each event occurred."""

    EVENTS_PER_STREAM = 6

    def __init__(self):
        self.requests, self.violations, self.counts = {}, {}, {}
        self.announcements, self.acknowledged_editions = [], []  # (version, time) of each
        self.last_core_fault = time.monotonic()
        self.outcomes = []  # (time, whether it was served) of each attempt

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    def report(self, rule, detail):
        self.violations.setdefault(rule, []).append(detail)

    def record_request(self, attempt, kind, path, body, router):
        self.requests[attempt] = Request(kind, path, body, router)
        self.count("requests")

    # -- reported by engines --
    def record_arrival(self, attempt):
        if attempt in self.requests:
            self.requests[attempt].arrivals += 1

    def record_run(self, attempt, path, body, headers, engine):
        request = self.requests.get(attempt)
        if request is None or request.path != path or request.body != body:
            return self.report("UNASKED", "%s %s" % (attempt, path))
        request.runs += 1
        request.engine, request.incarnation = engine, engine.incarnation
        if "authorization" in headers or not headers.get("x-tenant"):
            self.report("UNASKED", attempt + " without its tenant or with its key")
        if request.kind == "once" and request.runs > 1:
            self.report("TWICE", attempt)
        if request.refused_as_not_run:
            self.report("REFUSED", attempt + " ran after it was refused as not run")
        self.check_version(request, engine)

    def check_version(self, request, engine):
        now = time.monotonic()
        newer_times = [when for version, when in self.announcements if version > engine.weights]
        if not newer_times or now - min(newer_times) <= VERSION_BOUND_SECONDS:
            return
        if self.last_core_fault + CONTACT_SECONDS > min(newer_times):
            return
        if not request.router.is_connected(now):
            return
        self.report("VERSION", "version %d, %.2f s late" % (
            engine.weights, now - min(newer_times) - VERSION_BOUND_SECONDS))

    # -- reported by clients --
    def record_response(self, attempt, status, headers, body):
        request = self.requests[attempt]
        self.count("status %d" % status)
        self.outcomes.append((time.monotonic(), status == 200))
        if headers.get("x-attempt-id", attempt) != attempt:
            return self.report("MIXED", "%s got %s" % (attempt, headers["x-attempt-id"]))
        if status == 200:
            return self.check_success(attempt, request, headers, body)
        if status in (408, 421, 429, 503):
            request.refused_as_not_run = True
            if request.kind == "once" and request.runs > 0:
                self.report("REFUSED", "%s ran, but got status %d" % (attempt, status))
        elif status in (400, 401, 403, 404, 413, 431):
            self.report("DENIED", "%s: %d" % (attempt, status))

    def check_success(self, attempt, request, headers, body):
        text = body.decode("latin-1")
        if headers.get("x-postmark") != "p-" + attempt:
            self.report("MIXED", attempt + " without its postmark")
        elif request.kind != "stream":
            if text != "whole " + attempt:
                self.report("MIXED", attempt + ": " + text[:60])
        elif text != "".join("id: %d\ndata: %s\n\n" % (n, attempt)
                             for n in range(1, self.EVENTS_PER_STREAM + 1)):
            self.report("ORDER", attempt + ": " + text[:200])

    def record_broken_connection(self, attempt, response_started, reason):
        """The connection ended without a complete response. `reason` is for the report."""
        request = self.requests[attempt]
        now = time.monotonic()
        self.count("ended")
        self.outcomes.append((now, False))
        crossed_close = (request.arrivals == 0 and not response_started
                         and now - request.sent_at <= LOSS_SLACK_SECONDS)
        if crossed_close:
            return self.count("crossed a close")
        if request.engine_crashed() or request.router_faulted():
            return self.count("ended in trouble")
        self.report("LOST", "%s %s at %s, %.2f s after its last byte, %d arrivals, %s" % (
            request.kind, attempt, request.router.name, now - request.sent_at, request.arrivals,
            reason))

    def record_timeout(self, attempt):
        request = self.requests[attempt]
        self.outcomes.append((time.monotonic(), False))
        self.count("deadline")
        if request.engine_crashed() or request.router_faulted():
            return
        self.report("SILENT", "%s at %s" % (attempt, request.router.name))

    # -- reported by the operator --
    def record_weights(self, version):
        self.announcements.append((version, time.monotonic()))

    def record_acknowledged(self, edition):
        self.acknowledged_editions.append((edition, time.monotonic()))

    def check_read(self, edition, asked, where):
        due = [acknowledged for acknowledged, when in self.acknowledged_editions
               if asked - when > CONFIG_APPLY_SECONDS]
        if due and edition < max(due):
            self.report("CONFIG", "%s read %d, %d was acknowledged" % (where, edition, max(due)))

    def served_share_since(self, when):
        outcomes = [served for at, served in self.outcomes if at >= when]
        return sum(outcomes) / max(1, len(outcomes))
