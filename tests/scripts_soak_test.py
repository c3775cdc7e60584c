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

    def test_a_whole_answer_breaks_nothing(self):
        self.record_request()
        self.run_once()
        self.answer(200)
        self.assertEqual(self.violations(), [])
        self.assertEqual(self.checker.served_share_since(0), 1)

    def test_a_second_run_is_seen(self):
        self.record_request()
        self.run_once()
        self.run_once()
        self.assertEqual(self.violations(), ["TWICE"])

    def test_a_stream_may_run_again(self):
        self.record_request("stream")
        self.run_once("/stream/1")
        self.run_once("/stream/1")
        self.assertEqual(self.violations(), [])

    def test_a_promise_after_a_run_and_a_run_after_a_promise_are_seen(self):
        self.record_request()
        self.run_once()
        self.answer(503, b"")
        self.assertEqual(self.violations(), ["REFUSED"])
        self.setUp()
        self.record_request()
        self.answer(503, b"")
        self.run_once()
        self.assertEqual(self.violations(), ["REFUSED"])

    def test_what_was_changed_or_never_sent_is_seen(self):
        for path, body, tenant in (("/once/2", b"body", "first"), ("/once/1", b"other", "first"),
                                   ("/once/1", b"body", "")):
            self.setUp()
            self.record_request()
            self.run_once(path, body, tenant)
            self.assertEqual(self.violations(), ["UNASKED"])

    def test_answers_of_others_are_seen(self):
        for body, stamp, attempt in ((b"whole a2", "p-a1", "a1"), (b"whole a1", "p-a2", "a1"),
                                     (b"whole a1", "p-a1", "a2")):
            self.setUp()
            self.record_request()
            self.run_once()
            self.answer(200, body, stamp, attempt)
            self.assertEqual(self.violations(), ["MIXED"])

    def test_a_stream_that_lacks_an_event_is_seen(self):
        self.record_request("stream")
        self.answer(200, b"id: 1\ndata: a1\n\n")
        self.assertEqual(self.violations(), ["ORDER"])

    def test_an_end_without_an_answer_is_seen(self):
        self.record_request()
        self.run_once()
        self.checker.record_broken_connection("a1", False, "reset")
        self.assertEqual(self.violations(), ["LOST"])

    def test_a_late_end_of_what_was_never_passed_on_is_seen(self):
        self.record_request()
        self.checker.requests["a1"].sent_at -= 2 * LOSS_SLACK_SECONDS
        self.checker.record_broken_connection("a1", False, "reset")
        self.assertEqual(self.violations(), ["LOST"])

    def test_an_end_that_crosses_or_has_another_cause_is_none(self):
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

    def test_old_weights_are_seen_by_the_first_naming_above_them(self):
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

    def test_trouble_of_a_core_begins_the_time_of_weights_anew(self):
        now = time.monotonic()
        self.checker.last_core_fault = now - 5
        self.checker.announcements = [(2, now - VERSION_BOUND_SECONDS - 1)]
        self.record_request()
        self.run_once()
        self.assertEqual(self.violations(), [])

    def test_an_older_configuration_is_seen(self):
        now = time.monotonic()
        self.checker.acknowledged_editions = [(4, now - 10), (6, now - 0.5)]
        self.checker.check_read(4, now, "core1")
        self.assertEqual(self.violations(), [])
        self.checker.check_read(3, now, "core1")
        self.assertEqual(self.violations(), ["CONFIG"])

    def test_silence_and_denials_are_seen(self):
        self.record_request()
        self.checker.record_timeout("a1")
        self.checker.record_response("a1", 404, {}, b"")
        self.assertEqual(self.violations(), ["DENIED", "SILENT"])


if __name__ == "__main__":
    unittest.main()
