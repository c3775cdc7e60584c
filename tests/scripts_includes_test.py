"""Tests of scripts/check-includes on generated source trees."""
import importlib.machinery
import importlib.util
import pathlib
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.dont_write_bytecode = True
loader = importlib.machinery.SourceFileLoader("check_includes", str(ROOT / "scripts/check-includes"))
check_includes = importlib.util.module_from_spec(importlib.util.spec_from_loader("check_includes", loader))
loader.exec_module(check_includes)
Layer = check_includes.Layer

LAYERS = (
    Layer("base", ("src/core/types.h",), ()),
    Layer("wire", ("src/wire/*",), ("base",)),
    Layer("core", ("src/core/*",), ("base", "wire")),
    Layer("io", ("src/io/*",), ("base", "core")),
    Layer("platform", ("platform/*",), ("base", "io")),
)
GOOD = {
    "src/core/types.h": "#include <string>\n",
    "src/wire/frame.h": '#include "core/types.h"\n',
    "src/core/node.h": '#include "core/types.h"\n#include "wire/frame.h"\n',
    "src/io/event_loop.cc": '#include "core/node.h"\n',
    "platform/settings.cc": '#include "io/event_loop.h"\n#include "platform/settings.h"\n',
    "platform/settings.h": "",
    "src/io/event_loop.h": "",
}


class IncludesTest(unittest.TestCase):
    def errors(self, changes, layers=LAYERS):
        with tempfile.TemporaryDirectory() as folder:
            for path, text in {**GOOD, **changes}.items():
                (pathlib.Path(folder) / path).parent.mkdir(parents=True, exist_ok=True)
                (pathlib.Path(folder) / path).write_text(text)
            return check_includes.check(pathlib.Path(folder), layers)

    def test_downward_includes(self):
        self.assertEqual(self.errors({}), [])

    def test_an_upward_include(self):
        self.assertEqual(self.errors({"src/core/node.h": '#include "io/event_loop.h"\n'}),
                         ["src/core/node.h (core) may not include src/io/event_loop.h (io)"])

    def test_an_upward_include_with_blanks(self):
        self.assertEqual(self.errors({"src/core/node.h": '  #  include  "io/event_loop.h"\n'}),
                         ["src/core/node.h (core) may not include src/io/event_loop.h (io)"])

    def test_a_lower_module_includes_a_higher_one_in_its_folder(self):
        self.assertEqual(self.errors({"src/core/types.h": '#include "core/node.h"\n'})[0],
                         "src/core/types.h (base) may not include src/core/node.h (core)")

    def test_an_include_of_a_lower_module_that_is_not_allowed(self):
        self.assertEqual(self.errors({"src/io/event_loop.h": '#include "wire/frame.h"\n'}),
                         ["src/io/event_loop.h (io) may not include src/wire/frame.h (wire)"])

    def test_a_folder_without_a_module(self):
        self.assertEqual(self.errors({"src/extra/new.h": ""}),
                         ["src/extra/new.h: belongs to no module of the table"])

    def test_a_relative_include(self):
        self.assertEqual(self.errors({"src/io/event_loop.h": '#include "../core/node.h"\n'}),
                         ['src/io/event_loop.h: "../core/node.h" is no file below src or the root'])

    def test_an_include_of_a_missing_file(self):
        self.assertEqual(self.errors({"src/io/event_loop.h": '#include "loop_types.h"\n'}),
                         ['src/io/event_loop.h: "loop_types.h" is no file below src or the root'])

    def test_a_cycle_within_a_module(self):
        errors = self.errors({"src/io/a.h": '#include "io/b.h"\n', "src/io/b.h": '#include "io/a.h"\n'})
        self.assertEqual(errors, ["circular includes: src/io/a.h -> src/io/b.h -> src/io/a.h"])

    def test_a_table_that_allows_an_upward_include(self):
        layers = (Layer("base", ("src/core/types.h",), ("wire",)), *LAYERS[1:])
        self.assertEqual(self.errors({}, layers), ["the table lets base include wire, which isn't below it"])

    def test_an_empty_tree(self):
        with tempfile.TemporaryDirectory() as folder:
            self.assertTrue(check_includes.check(pathlib.Path(folder), LAYERS))

    def test_a_folder_without_a_readme(self):
        with tempfile.TemporaryDirectory() as folder:
            root = pathlib.Path(folder)
            (root / "src/io").mkdir(parents=True)
            (root / "platform").mkdir()
            (root / "platform/README.md").write_text("x")
            self.assertEqual(check_includes.missing_readmes(root),
                             ["src/io: no README.md says what it owns and may include"])

    def test_the_table_of_this_tree(self):
        self.assertEqual(check_includes.table_errors(check_includes.LAYERS), [])


if __name__ == "__main__":
    unittest.main()
