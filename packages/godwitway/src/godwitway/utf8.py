"""Tells text that can be encoded as UTF-8 from text that only looks like it."""

__all__ = ["has_utf8_form"]


def has_utf8_form(text: str) -> bool:
    r"""Whether a text can be encoded as UTF-8, which a lone surrogate cannot.

    JSON may contain a lone surrogate as an escape, and Python's parser accepts it.

    >>> has_utf8_form("zone-a"), has_utf8_form("zone-\ud83d")
    (True, False)
    """
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
