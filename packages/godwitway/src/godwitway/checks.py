"""Checks of operators' JSON input that report every error at once, each with its field."""

import json
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from godwitway.addresses import parse_address
from godwitway.errors import ErrorKind, Problem

if TYPE_CHECKING:
    from result import Result

__all__ = [
    "REQUIRED",
    "Checker",
    "Field",
    "address",
    "boolean",
    "choice",
    "integer",
    "ip_address",
    "list_of",
    "load_jsonc",
    "number",
    "object_of",
    "parse_jsonc",
    "text",
]


class Required:
    """The type of the sentinel for a field without a default."""

    def __repr__(self) -> str:
        """Return the sentinel's name."""
        return "REQUIRED"


REQUIRED = Required()


class Checker:
    """Collects the problems found in one document."""

    __slots__ = ("problems",)

    def __init__(self) -> None:
        self.problems: list[Problem] = []

    def report(self, field: str, message: str) -> None:
        """Add a problem with a field."""
        self.problems.append(Problem(ErrorKind.INVALID_FIELD, message, field))

    def result(self, value: Any) -> "Result[Any, list[Problem]]":
        """Return the value, or all problems when there are any."""
        from result import Err, Ok  # Costs start-up time that steering hosts do not spend.

        return Err(self.problems) if self.problems else Ok(value)


Check = Callable[[Any, str, Checker], Any]


class Field:
    """One named field of an object: its check and its default."""

    __slots__ = ("check", "default", "name")

    def __init__(self, name: str, check: Check, default: Any = REQUIRED) -> None:
        self.name = name
        self.check = check
        self.default = default


def integer(low: int, high: int) -> Check:
    """Return a check for a whole number within bounds."""

    def check(value: Any, field: str, checker: Checker) -> Any:
        if isinstance(value, bool) or not isinstance(value, int):
            checker.report(field, f"expected a whole number, got {describe(value)}")
        elif not low <= value <= high:
            checker.report(field, f"expected a number from {low} to {high}, got {value}")
        return value

    return check


def number(low: float, high: float) -> Check:
    """Return a check for a number within bounds."""

    def check(value: Any, field: str, checker: Checker) -> Any:
        if isinstance(value, bool) or not isinstance(value, int | float):
            checker.report(field, f"expected a number, got {describe(value)}")
            return value
        if not low <= value <= high:
            checker.report(field, f"expected a number from {low} to {high}, got {value}")
        return float(value)

    return check


def text(value: Any, field: str, checker: Checker) -> Any:
    """Check for a non-empty string."""
    if not isinstance(value, str) or not value:
        checker.report(field, f"expected a non-empty string, got {describe(value)}")
    return value


def boolean(value: Any, field: str, checker: Checker) -> Any:
    """Check for true or false."""
    if not isinstance(value, bool):
        checker.report(field, f"expected true or false, got {describe(value)}")
    return value


def choice(*names: str) -> Check:
    """Return a check for one of several strings."""

    def check(value: Any, field: str, checker: Checker) -> Any:
        if value not in names:
            checker.report(field, f"expected one of {', '.join(names)}, got {describe(value)}")
        return value

    return check


def address(value: Any, field: str, checker: Checker) -> Any:
    """Check for ``"ip:port"`` and return it as a socket address."""
    try:
        return parse_address(value)
    except (ValueError, AttributeError):
        checker.report(field, f"expected an address such as 10.0.0.1:80, got {describe(value)}")
        return value


def ip_address(value: Any, field: str, checker: Checker) -> Any:
    """Check for an IPv4 address and return it as 4 bytes."""
    try:
        return socket.inet_pton(socket.AF_INET, value)
    except (OSError, TypeError):
        checker.report(field, f"expected an IPv4 address, got {describe(value)}")
        return value


def list_of(check_item: Check, min_items: int = 0) -> Check:
    """Return a check for a list whose items all pass a check."""

    def check(value: Any, field: str, checker: Checker) -> Any:
        if not isinstance(value, list):
            checker.report(field, f"expected a list, got {describe(value)}")
            return []
        if len(value) < min_items:
            checker.report(field, f"expected at least {min_items} items, got {len(value)}")
        return [check_item(item, f"{field}[{index}]", checker) for index, item in enumerate(value)]

    return check


def object_of(build: Callable[..., Any], fields: list[Field]) -> Check:
    """Return a check for an object with the given fields, built when all of them pass."""

    def check(value: Any, field: str, checker: Checker) -> Any:
        if not isinstance(value, dict):
            checker.report(field, f"expected an object, got {describe(value)}")
            return None
        before = len(checker.problems)
        report_unknown_keys(value, fields, field, checker)
        checked = {
            item.name: check_field(item, value, join(field, item.name), checker) for item in fields
        }
        return build(**checked) if len(checker.problems) == before else None

    return check


def check_field(item: Field, value: dict[str, Any], field: str, checker: Checker) -> Any:
    """Check one field of an object, or return its default."""
    if item.name in value:
        return item.check(value[item.name], field, checker)
    if item.default is REQUIRED:
        checker.report(field, "is required")
        return None
    return item.default() if callable(item.default) else item.default


def report_unknown_keys(
    value: dict[str, Any], fields: list[Field], field: str, checker: Checker
) -> None:
    """Report each key that is no field, with the nearest known key."""
    known = [item.name for item in fields]
    for key in value:
        if key in known:
            continue
        import difflib  # Costs start-up time that a valid document need not spend.

        nearest = difflib.get_close_matches(str(key), known, n=1)
        hint = f"; did you mean {nearest[0]!r}?" if nearest else ""
        checker.report(join(field, str(key)), f"unknown key{hint}")


def join(field: str, name: str) -> str:
    """Return the path of a field inside an object."""
    return f"{field}.{name}" if field else name


def describe(value: Any) -> str:
    """Return a short description of a wrong value."""
    shown = repr(value)
    return shown if len(shown) <= 40 else shown[:37] + "..."


def load_jsonc(document: str) -> "Result[Any, list[Problem]]":
    """Parse JSON with comments.

    >>> load_jsonc('{"a": 1} // one').ok()
    {'a': 1}
    """
    checker = Checker()
    return checker.result(parse_jsonc(document, checker))


def parse_jsonc(document: str, checker: Checker) -> Any:
    """Parse JSON with comments; what is wrong goes to the checker."""
    try:
        return json.loads(document, object_pairs_hook=without_duplicates)
    except (ValueError, RecursionError):
        pass  # Not plain JSON; the slower parser takes comments or says what is wrong.
    import json5  # Costs start-up time that a document without comments need not spend.

    try:
        return json5.loads(document, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        problem = Problem(ErrorKind.BAD_JSON, f"not JSON with comments: {error}")
        checker.problems.append(problem)
        return None


def without_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return an object's fields, or raise ValueError when a name occurs twice."""
    fields = dict(pairs)
    if len(fields) != len(pairs):
        raise ValueError("a name occurs twice in one object")
    return fields
