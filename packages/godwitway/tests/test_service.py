"""Tests of the validation of service documents."""

import pytest
from builders import service_document, target_document
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from strategies import json_values

from godwitway.version import check_service


def problems_of(document) -> dict[str, str]:
    """Return the problem messages of an invalid document by field."""
    return {problem.field: problem.message for problem in check_service(document).unwrap_err()}


class TestCheckService:
    """Tests of `check_service`."""

    def test_reports_all_errors_at_once(self):
        """All wrong fields of a document are reported together."""
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

    def test_suggests_similar_key(self):
        """The problem of an unknown key names the most similar known key."""
        found = problems_of(service_document(load_bounds=0.1))
        assert found == {"load_bounds": "unknown key; did you mean 'load_bound'?"}

    def test_reports_missing_field(self):
        """A missing field is reported with its path."""
        document = service_document()
        del document["targets"][0]["zone"]
        assert problems_of(document) == {"targets[0].zone": "is required"}

    def test_rejects_duplicate_target(self):
        """Two targets with the same address are a problem."""
        document = service_document() | {"targets": [target_document(1), target_document(1)]}
        assert list(problems_of(document)) == ["targets[1].address"]

    def test_rejects_too_many_draining_targets(self):
        """More draining targets than max_draining are a problem."""
        document = service_document(max_draining=1)
        for raw in document["targets"][:2]:
            raw["state"] = "draining"
        assert "max_draining is 1" in problems_of(document)["targets"]

    @pytest.mark.parametrize("document", [None, [], "x", 3, {"name": 1}, {"kinds": {}}])
    def test_arbitrary_json_raises_no_exception(self, document):
        """Any JSON value that is no service yields problems."""
        assert check_service(document).unwrap_err()

    @seed(12)
    @settings(max_examples=200, deadline=None, database=None)
    @given(json_values, st.sampled_from(sorted(service_document())))
    def test_arbitrary_field_value_raises_no_exception(self, value, name):
        """Any JSON value in any field yields a service or problems with a field."""
        checked = check_service(service_document() | {name: value})
        assert checked.is_ok() or all(problem.field for problem in checked.unwrap_err())
