"""Following the platform's list of hosts from a stand-in process."""

import asyncio

import aiohttp
from godwitway.addresses import Address, format_address

from godwitway_standins._spray import Spray

__all__ = ["follow_list"]

POLL_S = 0.3
LIVE = "live"


async def follow_list(spray: Spray, entries: list[Address], platform: Address) -> None:
    """Spray over the entries that the platform lists as live, for ever."""
    url = f"http://{format_address(platform)}/admin/hosts"
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as session:
        while True:
            try:
                async with session.get(url) as response:
                    listed = await response.json()
            except (aiohttp.ClientError, TimeoutError):
                listed = {}
            for entry in entries:
                if listed.get(entry[0], LIVE) == LIVE:
                    spray.add(entry)
                else:
                    spray.remove(entry)
            await asyncio.sleep(POLL_S)
