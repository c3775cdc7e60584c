"""Tests of scripts/check-packages with made-up lists."""
import pathlib
import subprocess
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEADER = "/usr/include/xxhash.h"


class PackagesTest(unittest.TestCase):
    def check_list(self, text, name="system.toml", files=(HEADER,)):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / name
            path.write_text(text)
            words = [word for file in files for word in ("--file", file)]
            done = subprocess.run([ROOT / "scripts" / "check-packages", "--list", path, *words],
                                  capture_output=True, text=True, check=False, cwd=ROOT)
            return done.returncode, done.stdout + done.stderr

    def test_a_listed_package(self):
        code, said = self.check_list('packages = ["libxxhash-dev"]\n')
        self.assertEqual(code, 0, said)

    def test_a_missing_package_is_named(self):
        code, said = self.check_list('packages = ["libssl-dev"]\n')
        self.assertEqual(code, 1)
        self.assertIn("missing package libxxhash-dev: " + HEADER, said)

    def test_a_package_that_another_depends_on(self):
        code, said = self.check_list('packages = ["libxxhash-dev"]\n', files=(
            HEADER, "/usr/lib/x86_64-linux-gnu/libxxhash.so.0"))
        self.assertEqual(code, 0, said)

    def test_an_essential_package_needs_no_line(self):
        code, said = self.check_list('packages = ["libxxhash-dev"]\n', files=("/bin/ls",))
        self.assertEqual(code, 0, said)

    def test_a_file_of_no_package(self):
        code, said = self.check_list('packages = ["libxxhash-dev"]\n',
                                     files=("/usr/include/made_up.h",))
        self.assertEqual(code, 1)
        self.assertIn("/usr/include/made_up.h: no package owns it", said)

    def test_a_name_that_is_no_package(self):
        code, said = self.check_list('packages = ["libxxhash-dev", "libmade-up-dev"]\n')
        self.assertEqual(code, 1)
        self.assertIn("libmade-up-dev: no such package is installed", said)

    def test_an_install_script(self):
        script = "apt-get update -qq\napt-get install -y -qq \\\n    libssl-dev %s\n"
        self.assertEqual(self.check_list(script % "libxxhash-dev", "install")[0], 0)
        code, said = self.check_list(script % "libcpputest-dev", "install")
        self.assertEqual(code, 1)
        self.assertIn("missing package libxxhash-dev", said)

    def test_an_empty_list(self):
        self.assertEqual(self.check_list("packages = []\n", files=("/bin/ls",))[0], 1)


if __name__ == "__main__":
    unittest.main()
