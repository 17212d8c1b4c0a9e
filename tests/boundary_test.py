import tempfile
import unittest
from pathlib import Path

import boundary


class Boundary(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)
        self.write("platform/door.cpp", 'json.at("targetService"); path == "/api/readiness"; word = "CONGESTED"; method == "POST"; getenv("SOME_BOOT");')
        self.write("src/clean.cpp", '#include "edge/door.hpp"\nmethod == "POST"; // targetService\nint targetService = 1;')

    def write(self, place, text):
        path = self.root / place
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text + "\n")

    def found(self):
        return [(place, what) for place, _, what in boundary.breaches(self.root)]

    def test_a_clean_tree_has_no_breach(self):
        self.assertEqual(self.found(), [])

    def test_each_kind_of_breach_is_noticed(self):
        for place, line, what in (
            ("src/a.cpp", '#include "platform/door.hpp"', "includes from platform/"),
            ("src/b.hpp", '#include "../platform/door.hpp"', "includes from platform/"),
            ("src/c.cpp", "platform::Door door;", "uses the namespace platform"),
            ("src/d.cpp", 'json["targetService"]', "says the platform's targetService"),
            ("src/e.cpp", 'path == "/api/readiness"', "says the platform's /api/readiness"),
            ("src/f.cpp", 'word = "CONGESTED";', "says the platform's CONGESTED"),
            ("src/g.cpp", 'getenv("SOME_BOOT")', "says the platform's SOME_BOOT"),
            ("tests/door_test.cpp", '#include "platform/door.hpp"', "includes from platform/"),
            ("tests/pooler_reads_test.cpp", 'json["targetService"]', "says the platform's targetService"),
        ):
            with self.subTest(place):
                self.write(place, line)
                self.assertEqual(self.found(), [(place, what)])
                (self.root / place).unlink()

    def test_tests_of_the_translation_may_say_what_it_says(self):
        self.write("tests/platform/door_test.cpp", '#include "platform/door.hpp"\njson["targetService"]')
        self.write("tests/pooler_reads_test.cpp", 'CHECK(outcome == "CONGESTED");')
        self.assertEqual(self.found(), [])


if __name__ == "__main__":
    unittest.main()
