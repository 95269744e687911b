"""tools/fleet_report on logs that a fleet leaves: sums by second, lines cut off, folders without reports."""
import importlib.machinery
import importlib.util
import io
import pathlib
import sys
import tempfile
import unittest
from contextlib import redirect_stderr

PATH = pathlib.Path(__file__).resolve().parent.parent / "tools" / "fleet_report"
sys.dont_write_bytecode = True
loader = importlib.machinery.SourceFileLoader("fleet_report", str(PATH))
tool = importlib.util.module_from_spec(importlib.util.spec_from_loader("fleet_report", loader))
loader.exec_module(tool)


def line(ms, **more):
    import json
    return "1.0 anisewick: report " + json.dumps({"unix_ms": ms, **more}) + "\n"


class FleetReport(unittest.TestCase):
    def setUp(self):
        self.dir = tempfile.TemporaryDirectory()
        self.addCleanup(self.dir.cleanup)

    def write(self, name, text):
        (pathlib.Path(self.dir.name) / name).write_text(text)

    def test_sums_over_doormans_by_second_group_and_depot(self):
        warm = {"kind": 0, "state": 0, "born_ms": 0, "attempts": 2, "hits": 1, "hit_ms": 30}
        cold = {"kind": 0, "state": 0, "born_ms": 9000, "attempts": 1, "late": 1}
        left = {"kind": 1, "state": 1, "born_ms": 0, "fills": 3}
        self.write("n0.log", line(10000, taken=3, given_up={"no_time": 1}, depots={"a": warm, "b": cold}) +
                   line(11010, taken=1))
        self.write("n1.log", line(10100, taken=4, given_up={"no_time": 2}, depots={"a": warm, "c": left}))
        total = tool.add_up(tool.reports(self.dir.name))
        self.assertEqual(total["doormans"], 2)
        self.assertEqual(sorted(total["seconds"]), [0, 1])
        first = total["seconds"][0]
        self.assertEqual(first["answers"]["taken"], 7)
        self.assertEqual(first["why"]["no_time"], 3)
        self.assertEqual(first["groups"]["cache"]["attempts"], 4)
        self.assertEqual(first["groups"]["cache"]["hit_ms"], 60)
        self.assertEqual(first["groups"]["cache/cold"]["late"], 1)
        self.assertEqual(first["groups"]["parent/left"]["fills"], 3)
        self.assertEqual(total["depots"]["a"]["attempts"], 4)
        out = io.StringIO()
        tool.show(total, 1, 0, 9, out)
        self.assertIn("hit_ms=30", out.getvalue())
        self.assertIn("b: attempts=1 late=1", out.getvalue())

    def test_lines_that_cannot_be_read_are_counted_and_others_passed_over(self):
        self.write("n0.log", "anisewick: report {\"unix_ms\":1,\"tak\nhello\nanisewick: report {}\n" + line(5, taken=1))
        total = tool.add_up(tool.reports(self.dir.name))
        self.assertEqual((total["doormans"], total["bad"]), (1, 2))

    def test_no_reports_is_told_with_exit_code_2(self):
        self.write("n0.log", "nothing\n")
        for where in (self.dir.name, self.dir.name + "/absent"):
            with redirect_stderr(io.StringIO()) as err:
                self.assertEqual(tool.main([where]), 2)
            self.assertIn("fleet_report: ", err.getvalue())


if __name__ == "__main__":
    unittest.main()
