"""Tests of the stand-in backend server."""

import asyncio
import random

from godwitway.process import LoopClock
from godwitway.request import ACK, FIN, SYN

from godwitway_standins._packets import Segment
from godwitway_standins._server import INITIAL_SEQUENCE, BackendServer
from godwitway_standins._spray import Spray

SERVICE = b"\x0a\x00\x00\x01"
FLOW = b"\xac\x10\x00\x01" + SERVICE + b"\x10\x00\x1b\x59"


class TestConnections:
    """Counting the open connections, from which the imbalance is sampled."""

    def test_a_connection_that_has_ended_does_not_count_as_load(self):
        """It stays known for a while, to acknowledge what the caller repeats."""

        async def scenario():
            spray = Spray([], random.Random(1))
            server = BackendServer(None, spray, LoopClock(), SERVICE, 3, set())
            server.segment(FLOW, Segment(7, 0, SYN, b""))
            assert server.count_open() == 1
            server.segment(FLOW, Segment(8, INITIAL_SEQUENCE + 1, FIN | ACK, b""))
            await asyncio.sleep(0)
            assert server.count_open() == 1
            server.segment(FLOW, Segment(9, INITIAL_SEQUENCE + 2, ACK, b""))
            await asyncio.sleep(0.01)
            assert server.count_open() == 0
            assert FLOW in server.connections

        asyncio.run(scenario())
