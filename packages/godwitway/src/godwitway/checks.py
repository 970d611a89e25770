"""Composable checks of JSON documents that operators write.

A check validates one value, converts it and reports what is wrong to a `Checker`, so that all
errors of a document are known at once, each with the path of its field.
"""

import json
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from godwitway.addresses import parse_address
from godwitway.errors import ErrorKind, Problem
from godwitway.utf8 import has_utf8_form

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
    "map_of",
    "number",
    "object_of",
    "parse_jsonc",
    "text",
]


class Required:
    """The type of the sentinel `REQUIRED`, the default of a field that must be present."""

    def __repr__(self) -> str:
        """Return the name of the sentinel."""
        return "REQUIRED"


REQUIRED = Required()


class Checker:
    """Collects the problems of one document.

    Attributes:
        problems: The problems in the order in which they were found.
    """

    __slots__ = ("problems",)

    def __init__(self) -> None:
        self.problems: list[Problem] = []

    def report(self, field: str, message: str) -> None:
        """Add a problem of a field, which is named by its path such as ``targets[0].zone``."""
        self.problems.append(Problem(ErrorKind.INVALID_FIELD, message, field))

    def result(self, value: Any) -> "Result[Any, list[Problem]]":
        """Return the value as `Ok`, or the problems as `Err` when there are any."""
        from result import Err, Ok  # Deferred: steering hosts do not need it at start-up.

        return Err(self.problems) if self.problems else Ok(value)


# Called with a value, the path of its field and the checker. Returns the converted value; after it
# has reported a problem, the returned value must not be used.
Check = Callable[[Any, str, Checker], Any]


class Field:
    """One field of an object.

    Attributes:
        name: The key in the document, which is also the parameter of the object's constructor.
        check: The check of the value.
        default: The value of an absent field, a callable that returns it, or `REQUIRED`.
    """

    __slots__ = ("check", "default", "name")

    def __init__(self, name: str, check: Check, default: Any = REQUIRED) -> None:
        self.name = name
        self.check = check
        self.default = default


def integer(low: int, high: int) -> Check:
    """Return a check for a whole number within bounds."""

    def check(value: Any, field: str, checker: Checker) -> Any:
        if isinstance(value, bool) or not isinstance(value, int):
            checker.report(field, f"expected a whole number, got {describe_value(value)}")
        elif not low <= value <= high:
            checker.report(field, f"expected a number from {low} to {high}, got {value}")
        return value

    return check


def number(low: float, high: float) -> Check:
    """Return a check for a number within bounds."""

    def check(value: Any, field: str, checker: Checker) -> Any:
        if isinstance(value, bool) or not isinstance(value, int | float):
            checker.report(field, f"expected a number, got {describe_value(value)}")
            return value
        if not low <= value <= high:
            checker.report(field, f"expected a number from {low} to {high}, got {value}")
        return float(value)

    return check


def text(value: Any, field: str, checker: Checker) -> Any:
    """Check for a non-empty string that UTF-8 can encode."""
    if not isinstance(value, str) or not value:
        checker.report(field, f"expected a non-empty string, got {describe_value(value)}")
    elif not has_utf8_form(value):
        checker.report(field, f"{value!r:.40} has no UTF-8 form")
    return value


def boolean(value: Any, field: str, checker: Checker) -> Any:
    """Check for true or false."""
    if not isinstance(value, bool):
        checker.report(field, f"expected true or false, got {describe_value(value)}")
    return value


def choice(*names: str) -> Check:
    """Return a check for one of several strings."""

    def check(value: Any, field: str, checker: Checker) -> Any:
        if value not in names:
            checker.report(
                field, f"expected one of {', '.join(names)}, got {describe_value(value)}"
            )
        return value

    return check


def address(value: Any, field: str, checker: Checker) -> Any:
    """Check for ``"ip:port"`` and return a socket address."""
    try:
        return parse_address(value)
    except (ValueError, AttributeError):
        checker.report(
            field, f"expected an address such as 10.0.0.1:80, got {describe_value(value)}"
        )
        return value


def ip_address(value: Any, field: str, checker: Checker) -> Any:
    """Check for an IPv4 address and return its 4 bytes."""
    try:
        return socket.inet_pton(socket.AF_INET, value)
    except (OSError, TypeError):
        checker.report(field, f"expected an IPv4 address, got {describe_value(value)}")
        return value


def list_of(check_item: Check, min_items: int = 0) -> Check:
    """Return a check for a list of at least `min_items` items that all pass a check."""

    def check(value: Any, field: str, checker: Checker) -> Any:
        if not isinstance(value, list):
            checker.report(field, f"expected a list, got {describe_value(value)}")
            return []
        if len(value) < min_items:
            checker.report(field, f"expected at least {min_items} items, got {len(value)}")
        return [check_item(item, f"{field}[{index}]", checker) for index, item in enumerate(value)]

    return check


def map_of(check_value: Check) -> Check:
    """Return a check for an object with any keys, whose values all pass a check."""

    def check(value: Any, field: str, checker: Checker) -> Any:
        if not isinstance(value, dict):
            checker.report(field, f"expected an object, got {describe_value(value)}")
            return {}
        return {
            key: check_value(item, join_path(field, key), checker) for key, item in value.items()
        }

    return check


def object_of(build: Callable[..., Any], fields: list[Field]) -> Check:
    """Return a check for an object with the given fields.

    When all fields pass, `build` is called with their values as keyword arguments; otherwise the
    check returns None.
    """

    def check(value: Any, field: str, checker: Checker) -> Any:
        if not isinstance(value, dict):
            checker.report(field, f"expected an object, got {describe_value(value)}")
            return None
        before = len(checker.problems)
        report_unknown_keys(value, fields, field, checker)
        checked = {
            item.name: check_field(item, value, join_path(field, item.name), checker)
            for item in fields
        }
        return build(**checked) if len(checker.problems) == before else None

    return check


def check_field(item: Field, value: dict[str, Any], field: str, checker: Checker) -> Any:
    """Return the checked value of one field, or its default when it is absent."""
    if item.name in value:
        return item.check(value[item.name], field, checker)
    if item.default is REQUIRED:
        checker.report(field, "is required")
        return None
    return item.default() if callable(item.default) else item.default


def report_unknown_keys(
    value: dict[str, Any], fields: list[Field], field: str, checker: Checker
) -> None:
    """Report each key that is not a field, with the most similar field name as a hint."""
    known = [item.name for item in fields]
    for key in value:
        if key in known:
            continue
        import difflib  # Deferred: only invalid documents need it.

        nearest = difflib.get_close_matches(str(key), known, n=1)
        hint = f"; did you mean {nearest[0]!r}?" if nearest else ""
        checker.report(join_path(field, str(key)), f"unknown key{hint}")


def join_path(field: str, name: str) -> str:
    """Return the path of a field of the object at a path."""
    return f"{field}.{name}" if field else name


def describe_value(value: Any) -> str:
    """Return a value's representation, cut to 40 characters, for an error message."""
    shown = repr(value)
    return shown if len(shown) <= 40 else shown[:37] + "..."


def load_jsonc(document: str) -> "Result[Any, list[Problem]]":
    """Parse JSON with comments and trailing commas; see `parse_jsonc` for use with a checker.

    >>> load_jsonc('{"a": 1} // one').ok()
    {'a': 1}
    """
    checker = Checker()
    return checker.result(parse_jsonc(document, checker))


def parse_jsonc(document: str, checker: Checker) -> Any:
    """Parse JSON with comments, and report to the checker and return None when it is invalid."""
    try:
        return json.loads(document, object_pairs_hook=object_without_duplicates)
    except (ValueError, RecursionError):
        pass  # Not plain JSON: the slower parser accepts comments or reports the error.
    import json5  # Deferred: plain JSON does not need it.

    try:
        return json5.loads(document, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        problem = Problem(ErrorKind.BAD_JSON, f"not JSON with comments: {error}")
        checker.problems.append(problem)
        return None


def object_without_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Build a dict from the key-value pairs of an object.

    Raises:
        ValueError: A name occurs twice.
    """
    fields = dict(pairs)
    if len(fields) != len(pairs):
        raise ValueError("a name occurs twice in one object")
    return fields
