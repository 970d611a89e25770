"""The operators' page names every metric and log event."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]
SOURCES = ROOT / "packages" / "godwitway" / "src" / "godwitway"
PAGE = ROOT / "docs" / "OPERATORS.md"
METRIC = re.compile(r'metrics\.(?:count|observe)\(\s*f?"([a-z_]+)')
EVENT = re.compile(r'(?:journal\.event|self\.write)\(\s*(?:now, )?"([a-z_]+)"')
SETTING = re.compile(r'Field\("([a-z_]+)"')


def names(pattern: re.Pattern[str], file: str = "**/*.py") -> list[str]:
    """Return the names that the sources use."""
    found = {name for path in SOURCES.glob(file) for name in pattern.findall(path.read_text())}
    return sorted(found)


class TestOperatorsPage:
    """Tests of docs/OPERATORS.md."""

    @pytest.mark.parametrize("name", names(METRIC) + names(EVENT))
    def test_explains_metrics_and_events(self, name):
        """Every metric and every log event is explained."""
        assert f"`{name}" in PAGE.read_text()

    @pytest.mark.parametrize(
        "name", names(SETTING, "process/_settings.py") + names(SETTING, "version/_service.py")
    )
    def test_explains_fields(self, name):
        """Every setting and every field of a service is explained."""
        assert re.search(rf"`[^`|]*\b{name}\b[^`|]*`", PAGE.read_text())
