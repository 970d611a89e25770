"""Tests that the operators' pages explain every metric, log event and setting."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]
SOURCES = ROOT / "packages" / "godwitway" / "src" / "godwitway"
PAGE = ROOT / "docs" / "OPERATORS.md"
STEERING_PAGE = ROOT / "docs" / "OPERATIONS.md"
STEERING_FILES = "steering/*.py"
METRIC = re.compile(r'metrics\.(?:count|observe)\(\s*f?"([a-z_]+)')
EVENT = re.compile(r'(?:journal\.event|self\.write)\(\s*(?:now, )?"([a-z_]+)"')
SETTING = re.compile(r'Field\("([a-z_]+)"')


def find_names(pattern: re.Pattern[str], file: str = "**/*.py") -> list[str]:
    """Return the names that a pattern finds in the sources; steering is left out by default."""
    paths = set(SOURCES.glob(file))
    if file != STEERING_FILES:
        paths -= set(SOURCES.glob(STEERING_FILES))
    return sorted({name for path in paths for name in pattern.findall(path.read_text())})


class TestOperatorsPage:
    """Tests of docs/OPERATORS.md."""

    @pytest.mark.parametrize("name", find_names(METRIC) + find_names(EVENT))
    def test_explains_metrics_and_events(self, name):
        """Every metric and log event in the sources appears on the page."""
        assert f"`{name}" in PAGE.read_text()

    @pytest.mark.parametrize(
        "name",
        find_names(SETTING, "process/_settings.py") + find_names(SETTING, "version/_service.py"),
    )
    def test_explains_fields(self, name):
        """Every setting and every field of a service appears on the page."""
        assert re.search(rf"`[^`|]*\b{name}\b[^`|]*`", PAGE.read_text())


class TestOperationsPage:
    """Tests of docs/OPERATIONS.md, which is about steering hosts."""

    @pytest.mark.parametrize(
        "name", find_names(METRIC, STEERING_FILES) + find_names(EVENT, STEERING_FILES)
    )
    def test_explains_metrics_and_events(self, name):
        """Every metric and log event in the sources appears on the page."""
        assert f"`{name}`" in STEERING_PAGE.read_text()

    @pytest.mark.parametrize("name", find_names(SETTING, "steering/*.py"))
    def test_explains_settings(self, name):
        """Every setting appears on the page."""
        assert f"`{name}`" in STEERING_PAGE.read_text()
