"""Hypothesis strategies: flow keys, addresses, hosts, datagram headers and JSON values."""

from hypothesis import strategies as st

from godwitway.process._member import Member, MemberState
from godwitway.request import DatagramHeader
from godwitway.request._redirect import MAX_HOPS

flow_keys = st.binary(min_size=13, max_size=13)
addresses = st.binary(min_size=6, max_size=6)
zones = st.sampled_from(["a", "b", "c"])


@st.composite
def members(draw: st.DrawFn) -> Member:
    """Draw a member that is alive."""
    id_ = draw(addresses)
    return Member(
        id_, id_.hex(), draw(zones), ("10.0.0.1", 1), ("10.0.0.1", 2), state=MemberState.ALIVE
    )


datagram_headers = st.builds(
    DatagramHeader,
    type=st.integers(1, 5),
    flags=st.integers(0, 0xFFFF),
    candidate_index=st.integers(0, 2),
    hops_left=st.integers(0, MAX_HOPS),
    target=addresses,
    entry=addresses,
    candidate_loads=st.lists(st.integers(0, 0xFFFF), min_size=3, max_size=3),
)

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
