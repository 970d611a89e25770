"""Headers of datagrams between hosts."""

from builders import KEY
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from strategies import redirects

from godwitway.errors import ErrorKind
from godwitway.request import Keyring, Redirect, decode_datagram, encode_datagram

OTHER_KEY = bytes(range(1, 33))


class TestDecode:
    """Tests of `decode_datagram`."""

    @seed(3)
    @settings(max_examples=200, deadline=None, database=None)
    @given(redirects, st.binary(max_size=60))
    def test_reads_what_encode_wrote(self, redirect, body):
        """A header and a body come back as they were."""
        keyring = Keyring([KEY])
        assert decode_datagram(encode_datagram(redirect, body, keyring), keyring).unwrap() == (
            redirect,
            body,
        )

    @seed(4)
    @settings(max_examples=300, deadline=None, database=None)
    @given(st.binary(max_size=80))
    def test_survives_any_bytes(self, datagram):
        """Bytes that nobody signed give an error kind, never an exception."""
        found = decode_datagram(datagram, Keyring([KEY]))
        assert found.unwrap_err() in (ErrorKind.BAD_DATAGRAM, ErrorKind.BAD_AUTHENTICATOR)

    @seed(5)
    @settings(max_examples=200, deadline=None, database=None)
    @given(st.integers(0, 70), st.integers(1, 255))
    def test_refuses_any_changed_byte(self, position, change):
        """A datagram with one changed byte is refused."""
        datagram = bytearray(encode_datagram(Redirect(), b"x" * 40, Keyring([KEY])))
        datagram[position % len(datagram)] ^= change
        assert (
            decode_datagram(bytes(datagram), Keyring([KEY])).unwrap_err()
            == ErrorKind.BAD_AUTHENTICATOR
        )

    def test_accepts_both_keys_during_a_change(self):
        """While two keys are valid, what either of them signed is accepted."""
        both = Keyring([OTHER_KEY, KEY])
        assert decode_datagram(encode_datagram(Redirect(), b"", Keyring([KEY])), both).is_ok()
        assert decode_datagram(encode_datagram(Redirect(), b"", Keyring([OTHER_KEY])), both).is_ok()
        assert decode_datagram(encode_datagram(Redirect(), b"", both), Keyring([KEY])).is_err()
