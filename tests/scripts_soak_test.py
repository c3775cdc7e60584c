#!/usr/bin/env python3
"""Tests of the rules of scripts/soak: violations are reported, correct behaviour isn't."""
import pathlib
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "scripts"))
from soak_judge import LOSS_SLACK_SECONDS, VERSION_BOUND_SECONDS, RuleChecker  # noqa: E402


class Router:
    def __init__(self, fault_time=0.0):
        self.name, self.fault_time = "router1", fault_time

    def faulted_since(self, when):
        return self.fault_time >= when

    def is_connected(self, now):
        return now - self.fault_time > 3


class Engine:
    def __init__(self, weights=1):
        self.weights, self.incarnation, self.is_up = weights, 1, True


class RuleCheckerTest(unittest.TestCase):
    def setUp(self):
        self.checker, self.router, self.engine = RuleChecker(), Router(), Engine()
        self.checker.last_core_fault = 0.0

    def record_request(self, kind="once"):
        self.checker.record_request("a1", kind, "/%s/1" % kind, b"body", self.router)

    def run_once(self, path="/once/1", body=b"body", tenant="first"):
        self.checker.record_arrival("a1")
        self.checker.record_run("a1", path, body, {"x-tenant": tenant}, self.engine)

    def violations(self):
        return sorted(self.checker.violations)

    def answer(self, status, body=b"whole a1", stamp="p-a1", attempt="a1"):
        headers = {"x-attempt-id": attempt, "x-postmark": stamp}
        self.checker.record_response("a1", status, headers, body)

    def test_a_complete_response_violates_no_rule(self):
        self.record_request()
        self.run_once()
        self.answer(200)
        self.assertEqual(self.violations(), [])
        self.assertEqual(self.checker.served_share_since(0), 1)

    def test_a_second_run_is_reported(self):
        self.record_request()
        self.run_once()
        self.run_once()
        self.assertEqual(self.violations(), ["TWICE"])

    def test_a_stream_may_run_again(self):
        self.record_request("stream")
        self.run_once("/stream/1")
        self.run_once("/stream/1")
        self.assertEqual(self.violations(), [])

    def test_a_refused_request_that_runs_is_reported_in_either_order(self):
        self.record_request()
        self.run_once()
        self.answer(503, b"")
        self.assertEqual(self.violations(), ["REFUSED"])
        self.setUp()
        self.record_request()
        self.answer(503, b"")
        self.run_once()
        self.assertEqual(self.violations(), ["REFUSED"])

    def test_a_changed_or_unknown_request_at_an_engine_is_reported(self):
        for path, body, tenant in (("/once/2", b"body", "first"), ("/once/1", b"other", "first"),
                                   ("/once/1", b"body", "")):
            self.setUp()
            self.record_request()
            self.run_once(path, body, tenant)
            self.assertEqual(self.violations(), ["UNASKED"])

    def test_a_response_to_another_request_is_reported(self):
        for body, stamp, attempt in ((b"whole a2", "p-a1", "a1"), (b"whole a1", "p-a2", "a1"),
                                     (b"whole a1", "p-a1", "a2")):
            self.setUp()
            self.record_request()
            self.run_once()
            self.answer(200, body, stamp, attempt)
            self.assertEqual(self.violations(), ["MIXED"])

    def test_a_stream_without_all_events_is_reported(self):
        self.record_request("stream")
        self.answer(200, b"id: 1\ndata: a1\n\n")
        self.assertEqual(self.violations(), ["ORDER"])

    def test_a_closed_connection_without_a_response_is_reported(self):
        self.record_request()
        self.run_once()
        self.checker.record_broken_connection("a1", False, "reset")
        self.assertEqual(self.violations(), ["LOST"])

    def test_a_late_close_of_a_request_that_was_not_forwarded_is_reported(self):
        self.record_request()
        self.checker.requests["a1"].sent_at -= 2 * LOSS_SLACK_SECONDS
        self.checker.record_broken_connection("a1", False, "reset")
        self.assertEqual(self.violations(), ["LOST"])

    def test_a_close_that_crosses_the_request_or_follows_a_fault_is_allowed(self):
        self.record_request()
        self.checker.record_broken_connection("a1", False, "reset")  # the close crossed the request
        self.record_request()
        self.run_once()
        self.engine.is_up = False  # the engine crashed
        self.checker.record_broken_connection("a1", True, "reset")
        self.router.fault_time = time.monotonic()  # the router was killed
        self.record_request()
        self.checker.record_arrival("a1")
        self.checker.record_broken_connection("a1", True, "reset")
        self.assertEqual(self.violations(), [])

    def test_old_weights_are_measured_from_the_first_newer_announcement(self):
        now = time.monotonic()
        self.checker.last_core_fault = self.router.fault_time = now - VERSION_BOUND_SECONDS - 60
        self.checker.announcements = [(2, now - VERSION_BOUND_SECONDS - 1), (3, now - 1)]
        self.record_request()
        self.run_once()
        self.assertEqual(self.violations(), ["VERSION"])
        self.setUp()
        self.checker.last_core_fault = self.router.fault_time = now - VERSION_BOUND_SECONDS - 60
        self.checker.announcements = [(2, now - VERSION_BOUND_SECONDS - 1), (3, now - 1)]
        self.engine.weights = 2
        self.record_request()
        self.run_once()
        self.assertEqual(self.violations(), [])

    def test_a_core_fault_restarts_the_time_allowed_for_old_weights(self):
        now = time.monotonic()
        self.checker.last_core_fault = now - 5
        self.checker.announcements = [(2, now - VERSION_BOUND_SECONDS - 1)]
        self.record_request()
        self.run_once()
        self.assertEqual(self.violations(), [])

    def test_an_outdated_configuration_is_reported(self):
        now = time.monotonic()
        self.checker.acknowledged_editions = [(4, now - 10), (6, now - 0.5)]
        self.checker.check_read(4, now, "core1")
        self.assertEqual(self.violations(), [])
        self.checker.check_read(3, now, "core1")
        self.assertEqual(self.violations(), ["CONFIG"])

    def test_a_missing_response_and_a_denial_are_reported(self):
        self.record_request()
        self.checker.record_timeout("a1")
        self.checker.record_response("a1", 404, {}, b"")
        self.assertEqual(self.violations(), ["DENIED", "SILENT"])


if __name__ == "__main__":
    unittest.main()
