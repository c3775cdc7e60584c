"""Tests of scripts/judge-tests with generated results and KNOWN-RED.txt files."""
import pathlib
import subprocess
import tempfile
import unittest

SCRIPT = pathlib.Path(__file__).resolve().parent.parent / "scripts" / "judge-tests"

UNITS = """TEST(Wire, RoundTrip) - 1 ms
TEST(Disk, Torn)
tests/disk_writer_test.cc:12: error: Failure in TEST(Disk, Torn)
\texpected <1>

 - 3 ms
TEST(Disk, Full) - 2 ms

Errors (1 failures, 3 tests, 3 ran, 40 checks, 0 ignored, 0 filtered out, 6 ms)
"""
GOOD_UNITS = """TEST(Wire, RoundTrip) - 1 ms
TEST(Disk, Torn) - 3 ms

OK (2 tests, 2 ran, 40 checks, 0 ignored, 0 filtered out, 6 ms)
"""
RUNS = """one-way-cut seed 1: served=1
FAILED one-way-cut seed 2
    a front serves 0.5
one-way-cut seed 2: served=0.5
1 passed, 1 failed
"""


class Run:
    """A simulated test run in its own folder."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.results = self.folder / "results"
        self.known = self.folder / "KNOWN-RED.txt"

    def collect(self, kind, part, output, code):
        output_file = self.folder / "output"
        output_file.write_text(output)
        subprocess.run([SCRIPT, "collect", self.results, kind, part, output_file, str(code)],
                       check=True)

    def judge(self, *arguments):
        process = subprocess.run([SCRIPT, "judge", self.results, "--known", self.known, *arguments],
                              capture_output=True, text=True, check=False)
        return process.returncode, process.stdout


class JudgeTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.simulated_run = Run(folder.name)

    def failing_run(self):
        self.simulated_run.collect("units", "units", UNITS, 1)
        self.simulated_run.collect("runs", "scenarios", RUNS, 3)
        self.simulated_run.collect("whole", "door-check", "door-check: 40 passed, 0 failed\n", 0)
        return self.simulated_run

    def test_a_passing_run_without_a_list(self):
        self.simulated_run.collect("units", "units", GOOD_UNITS, 0)
        self.simulated_run.collect("whole", "door-check", "7 passed, 0 failed\n", 0)
        self.assertEqual(self.simulated_run.judge(), (0, "47 passed, 0 failed\n"))

    def test_failures_without_a_list(self):
        code, output = self.failing_run().judge()
        self.assertEqual(code, 1)
        self.assertIn("FAILED: units: Disk.Torn\n", output)
        self.assertIn("FAILED: scenarios: one-way-cut seed 2\n", output)
        self.assertTrue(output.endswith("81 passed, 2 failed\n"), output)

    def test_listed_failures_are_printed_and_do_not_fail_the_run(self):
        run = self.failing_run()
        run.known.write_text("Disk.Torn, the tail, if cut, is kept, issue 18\n"
                             "one-way-cut seed 2, no path back, issue 7\n")
        code, output = run.judge()
        self.assertEqual(code, 0, output)
        self.assertIn("KNOWN RED: units: Disk.Torn: the tail, if cut, is kept (issue 18)\n", output)
        self.assertIn("KNOWN RED: scenarios: one-way-cut seed 2: no path back (issue 7)\n", output)
        self.assertTrue(output.endswith("81 passed, 0 failed, 2 known red\n"), output)

    def test_other_failures_still_fail_the_run(self):
        run = self.failing_run()
        run.known.write_text("Disk.Torn, a cause, issue 18\n")
        code, output = run.judge()
        self.assertEqual(code, 1)
        self.assertIn("FAILED: scenarios: one-way-cut seed 2\n", output)

    def test_a_whole_part_can_be_listed(self):
        run = self.simulated_run
        run.collect("whole", "fleet", "lost\n", 1)
        run.known.write_text("fleet, a cause, issue 18\n")
        self.assertEqual(run.judge()[0], 0)

    def test_a_listed_test_that_passes(self):
        run = self.failing_run()
        run.known.write_text("Disk.Torn, a cause, issue 18\none-way-cut seed 2, a cause, issue 18\n"
                             "Wire.RoundTrip, a cause, issue 18\n")
        code, output = run.judge()
        self.assertEqual(code, 1)
        self.assertIn("passes, take it out: Wire.RoundTrip", output)

    def test_a_line_that_names_no_test(self):
        run = self.failing_run()
        run.known.write_text("Disk.Torn, a cause, issue 18\none-way-cut seed 2, a cause, issue 18\n"
                             "Disk.Gone, a cause, issue 18\n")
        code, output = run.judge()
        self.assertEqual(code, 1)
        self.assertIn("names no test of this run: Disk.Gone", output)

    def test_a_fourth_line(self):
        run = self.failing_run()
        self.simulated_run.collect("whole", "fleet", "lost\n", 1)
        self.simulated_run.collect("whole", "jumper", "lost\n", 1)
        three = ("Disk.Torn, a cause, issue 18\none-way-cut seed 2, a cause, issue 18\n"
                 "fleet, a cause, issue 18\n")
        run.known.write_text(three + "jumper, a cause, issue 18\n")
        code, output = run.judge()
        self.assertEqual(code, 1)
        self.assertIn("KNOWN-RED.txt:4: more than 3 lines", output)

    def test_malformed_lines(self):
        for line in ("Disk.Torn", "Disk.Torn, a cause", "Disk.Torn, a cause, 18", "",
                     ", a cause, issue 18", "Disk.Torn, a cause, issue 0", "# note",
                     "Disk.Torn, a cause, issue 18 ", "Disk.Torn, , issue 18"):
            with self.subTest(line=line):
                run = self.failing_run()
                run.known.write_text(line + "\n")
                code, output = run.judge()
                self.assertEqual(code, 1)
                self.assertIn("KNOWN-RED.txt:1: not of the form", output)
                run.results.unlink()

    def test_a_line_given_twice(self):
        run = self.failing_run()
        run.known.write_text("Disk.Torn, a cause, issue 18\nDisk.Torn, another, issue 18\n"
                             "one-way-cut seed 2, a cause, issue 18\n")
        code, output = run.judge()
        self.assertEqual(code, 1)
        self.assertIn("listed twice: Disk.Torn", output)

    def test_tests_that_did_not_run_always_fail_the_run(self):
        crashes = (("units", "TEST(Disk, Torn)", 139), ("units", GOOD_UNITS, 1), ("units", "", 0),
                   ("runs", "FAILED one-way-cut seed 2\none-way-cut seed 2: a=1\n", 139),
                   ("runs", "one-way-cut seed 1: a=1\n1 passed, 1 failed\n", 3),
                   ("runs", "0 passed, 0 failed\n", 0),
                   ("units", GOOD_UNITS.replace("2 ran", "3 ran"), 0))
        for kind, output, code in crashes:
            with self.subTest(kind=kind, output=output):
                self.simulated_run.collect(kind, kind, output, code)
                code, output = self.simulated_run.judge()
                self.assertEqual(code, 1)
                self.assertIn("FAILED: %s: %s as a whole" % (kind, kind), output)
                self.simulated_run.results.unlink()

    def test_a_part_as_a_whole_cannot_be_listed(self):
        self.simulated_run.collect("units", "units", "TEST(Disk, Torn)", 139)
        self.simulated_run.known.write_text("units, crashes, issue 18\n")
        self.assertEqual(self.simulated_run.judge()[0], 1)

    def test_an_ignored_test_counts_as_failed(self):
        self.simulated_run.collect("units", "units", GOOD_UNITS.replace("TEST(Disk", "IGNORE_TEST(Disk")
                            .replace("2 ran", "1 ran"), 0)
        code, output = self.simulated_run.judge()
        self.assertEqual(code, 1)
        self.assertIn("FAILED: units: Disk.Torn", output)

    def test_nothing_ran(self):
        self.simulated_run.results.write_text("")
        self.assertEqual(self.simulated_run.judge()[0], 1)

    def test_a_partial_run(self):
        run = self.failing_run()
        run.known.write_text("Disk.Torn, a cause, issue 18\none-way-cut seed 2, a cause, issue 18\n"
                             "Elsewhere.Only, a cause, issue 18\n")
        self.assertEqual(run.judge("--partial")[0], 0)
        run.known.write_text("Disk.Torn, a cause, issue 18\n")
        self.assertEqual(run.judge("--partial")[0], 1)


if __name__ == "__main__":
    unittest.main()
