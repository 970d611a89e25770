"""Checking services."""

import pytest
from builders import service_document, target_document
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from strategies import json_values

from godwitway.version import check_service


def problems_of(document) -> dict[str, str]:
    """Return the message of each problem by field."""
    return {problem.field: problem.message for problem in check_service(document).unwrap_err()}


class TestCheckService:
    """Tests of `check_service`."""

    def test_reports_all_errors_at_once(self):
        """Every wrong field is named in one answer."""
        document = service_document()
        document["address"] = "10.10.0.999"
        document["kinds"][0]["port"] = 0
        document["kinds"][1]["urgency"] = "high"
        document["targets"][2]["slots"] = -1
        found = problems_of(document)
        assert set(found) == {
            "address",
            "kinds[0].port",
            "kinds[1].urgency",
            "targets[2].slots",
        }

    def test_suggests_the_nearest_key(self):
        """An unknown key is an error that names the nearest known one."""
        found = problems_of(service_document(load_bounds=0.1))
        assert found == {"load_bounds": "unknown key; did you mean 'load_bound'?"}

    def test_missing_field(self):
        """A missing field is named."""
        document = service_document()
        del document["targets"][0]["zone"]
        assert problems_of(document) == {"targets[0].zone": "is required"}

    def test_target_listed_twice(self):
        """Two targets with one address are an error."""
        document = service_document() | {"targets": [target_document(1), target_document(1)]}
        assert list(problems_of(document)) == ["targets[1].address"]

    def test_too_many_draining(self):
        """More draining targets than max_draining are an error."""
        document = service_document(max_draining=1)
        for raw in document["targets"][:2]:
            raw["state"] = "draining"
        assert "max_draining is 1" in problems_of(document)["targets"]

    @pytest.mark.parametrize("document", [None, [], "x", 3, {"name": 1}, {"kinds": {}}])
    def test_survives_any_json(self, document):
        """Any JSON value gives problems, never an exception."""
        assert check_service(document).unwrap_err()

    @seed(12)
    @settings(max_examples=200, deadline=None, database=None)
    @given(json_values, st.sampled_from(sorted(service_document())))
    def test_survives_any_value_in_any_field(self, value, name):
        """Any JSON value in any field gives a service or problems, never an exception."""
        checked = check_service(service_document() | {name: value})
        assert checked.is_ok() or all(problem.field for problem in checked.unwrap_err())
