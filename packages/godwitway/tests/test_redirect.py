"""Tests of the encoding and authentication of datagrams between hosts."""

from builders import DATAGRAM_KEY
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from strategies import datagram_headers

from godwitway.errors import ErrorKind
from godwitway.request import DatagramHeader, Keyring, decode_datagram, encode_datagram

OTHER_KEY = bytes(range(1, 33))


class TestDecode:
    """Tests of `decode_datagram`."""

    @seed(3)
    @settings(max_examples=200, deadline=None, database=None)
    @given(datagram_headers, st.binary(max_size=60))
    def test_decodes_encoded_datagram(self, header, body):
        """Decoding returns the encoded header and body."""
        keyring = Keyring([DATAGRAM_KEY])
        assert decode_datagram(encode_datagram(header, body, keyring), keyring).unwrap() == (
            header,
            body,
        )

    @seed(4)
    @settings(max_examples=300, deadline=None, database=None)
    @given(st.binary(max_size=80))
    def test_arbitrary_bytes_raise_no_exception(self, datagram):
        """Unsigned bytes yield an error kind."""
        decoded = decode_datagram(datagram, Keyring([DATAGRAM_KEY]))
        assert decoded.unwrap_err() in (ErrorKind.BAD_DATAGRAM, ErrorKind.BAD_AUTHENTICATOR)

    @seed(5)
    @settings(max_examples=200, deadline=None, database=None)
    @given(st.integers(0, 70), st.integers(1, 255))
    def test_rejects_any_changed_byte(self, position, change):
        """A datagram with one changed byte fails authentication."""
        datagram = bytearray(encode_datagram(DatagramHeader(), b"x" * 40, Keyring([DATAGRAM_KEY])))
        datagram[position % len(datagram)] ^= change
        assert (
            decode_datagram(bytes(datagram), Keyring([DATAGRAM_KEY])).unwrap_err()
            == ErrorKind.BAD_AUTHENTICATOR
        )

    def test_accepts_all_keys_of_keyring(self):
        """With two keys, datagrams signed with either one are accepted; the first one signs."""
        both = Keyring([OTHER_KEY, DATAGRAM_KEY])
        assert decode_datagram(
            encode_datagram(DatagramHeader(), b"", Keyring([DATAGRAM_KEY])), both
        ).is_ok()
        assert decode_datagram(
            encode_datagram(DatagramHeader(), b"", Keyring([OTHER_KEY])), both
        ).is_ok()
        assert decode_datagram(
            encode_datagram(DatagramHeader(), b"", both), Keyring([DATAGRAM_KEY])
        ).is_err()
