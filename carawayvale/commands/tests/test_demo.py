"""Tests of the demo."""

from pathlib import Path

from loguru import logger

from carawayvale.commands import demo
from carawayvale.commands.exits import ExitStatus

ROOT = Path(__file__).parents[3]
DOCUMENT = ROOT / "examples" / "gitterwerk" / "document.ini"


class TestDemo:
    def test_demo_ends_its_store_after_the_instances(
        self, monkeypatch, capsys
    ):
        monkeypatch.setattr(demo, "start_logs", lambda level: None)
        lines = []
        sink_id = logger.add(lines.append, level="WARNING")
        status = demo.run_demo(str(DOCUMENT), 1.0)
        logger.remove(sink_id)
        assert status is ExitStatus.DONE
        assert not [line for line in lines if "store_unreachable" in line]
        assert "nothing lost, nothing run twice" in capsys.readouterr().out
