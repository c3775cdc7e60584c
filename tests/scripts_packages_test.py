"""Tests of scripts/check-packages with generated package lists."""
import pathlib
import subprocess
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEADER = "/usr/include/xxhash.h"


def library_file():
    """Returns the path of the shared library that the header's package depends on. Its folder is
    named after the machine's architecture."""
    listed = subprocess.run(["dpkg", "-L", "libxxhash0"], capture_output=True, text=True, check=True)
    return next(path for path in listed.stdout.split() if path.endswith("/libxxhash.so.0"))


class PackagesTest(unittest.TestCase):
    def check_list(self, text, name="system.toml", files=(HEADER,)):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / name
            path.write_text(text)
            arguments = [argument for file in files for argument in ("--file", file)]
            process = subprocess.run([ROOT / "scripts" / "check-packages", "--list", path,
                                      *arguments],
                                     capture_output=True, text=True, check=False, cwd=ROOT)
            return process.returncode, process.stdout + process.stderr

    def test_a_listed_package(self):
        code, output = self.check_list('packages = ["libxxhash-dev"]\n')
        self.assertEqual(code, 0, output)

    def test_a_missing_package_is_named(self):
        code, output = self.check_list('packages = ["libssl-dev"]\n')
        self.assertEqual(code, 1)
        self.assertIn("missing package libxxhash-dev: " + HEADER, output)

    def test_a_package_that_another_depends_on(self):
        code, output = self.check_list('packages = ["libxxhash-dev"]\n', files=(
            HEADER, library_file()))
        self.assertEqual(code, 0, output)

    def test_an_essential_package_need_not_be_listed(self):
        code, output = self.check_list('packages = ["libxxhash-dev"]\n', files=("/bin/ls",))
        self.assertEqual(code, 0, output)

    def test_a_file_without_a_package(self):
        code, output = self.check_list('packages = ["libxxhash-dev"]\n',
                                     files=("/usr/include/made_up.h",))
        self.assertEqual(code, 1)
        self.assertIn("/usr/include/made_up.h: no package owns it", output)

    def test_a_listed_package_that_is_not_installed(self):
        code, output = self.check_list('packages = ["libxxhash-dev", "libmade-up-dev"]\n')
        self.assertEqual(code, 1)
        self.assertIn("libmade-up-dev: no such package is installed", output)

    def test_an_install_script(self):
        script = "apt-get update -qq\napt-get install -y -qq \\\n    libssl-dev %s\n"
        self.assertEqual(self.check_list(script % "libxxhash-dev", "install")[0], 0)
        code, output = self.check_list(script % "libcpputest-dev", "install")
        self.assertEqual(code, 1)
        self.assertIn("missing package libxxhash-dev", output)

    def test_an_empty_list(self):
        self.assertEqual(self.check_list("packages = []\n", files=("/bin/ls",))[0], 1)


if __name__ == "__main__":
    unittest.main()
