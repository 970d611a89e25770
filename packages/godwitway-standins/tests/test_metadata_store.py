"""Tests of the adapter's client of the store against the stand-in."""

import asyncio
import json
import os

import pytest
from godwitway.metrics import Metrics
from godwitway.store import CompactedError, KeyValue, StoreError, UnusableResponseError
from godwitway_platform import _store
from godwitway_platform._store import MetadataStoreClient
from godwitway_platform._store_responses import list_keys_blocking

from godwitway_standins.flows import MetadataServer

IP = "127.39.0.1"
SLOW_BYTES_PER_S = 625_000  # 5 Mbit/s, the slowest link of the platform.
MAX_VALUE_BYTES = 1_048_576  # The platform's limit.


def play(scenario) -> None:
    """Run a scenario with a store and a client."""

    async def run() -> None:
        server = MetadataServer()
        await server.serve(IP, 8_169)
        client = MetadataStoreClient((IP, 8_169), Metrics())
        try:
            await scenario(server, client)
        finally:
            client.connection.close()
            await server.close()

    asyncio.run(run())


class TestRange:
    """Lists of keys."""

    def test_all_pages_are_read(self):
        """A page has at most 500 keys."""

        async def scenario(server, client):
            for number in range(1_100):
                server.put(f"servers/i-{number:04x}", b"x")
            listing = await client.range("servers/")
            assert len(listing.items) == 1_100
            assert listing.revision == server.revision
            now = await asyncio.to_thread(list_keys_blocking, (IP, 8_169), 5.0, 5.0)
            assert len(now.items) == 1_100

        play(scenario)

    def test_other_prefixes_are_left_out(self):
        """Values come back as they were written."""

        async def scenario(server, client):
            server.put("op/config", b"\x00\xff")
            server.put("servers/i-1", b"x")
            (item,) = (await client.range("op/")).items
            assert (item.key, item.value, item.mod_revision) == ("op/config", b"\x00\xff", 2)

        play(scenario)


class TestChanges:
    """Watches."""

    def test_events_come_as_soon_as_there_are_any(self):
        """Deletions are events too."""

        async def scenario(server, client):
            waiting = asyncio.ensure_future(client.changes("servers/", server.revision, 5.0))
            await asyncio.sleep(0.05)
            server.put("servers/i-1", b"x")
            changes = await waiting
            assert [(event.key, event.value) for event in changes.events] == [("servers/i-1", b"x")]
            server.delete("servers/i-1")
            changes = await client.changes("servers/", changes.position.revision, 5.0)
            assert changes.events[0].value is None

        play(scenario)

    def test_a_lost_history_is_told_apart(self):
        """The host then lists anew."""

        async def scenario(server, client):
            server.put("op/config", b"1")
            server.compact()
            with pytest.raises(CompactedError):
                await client.changes("op/config", 1, 1.0)

        play(scenario)


class TestLargeValues:
    """Values of the largest size that the store takes."""

    def test_changes_that_are_too_large_together_are_told_apart(self):
        """The same watch would fail again; the pages of a listing are limited in size."""

        async def scenario(server, client):
            for number in range(3):
                server.put(f"servers/i-{number}", os.urandom(MAX_VALUE_BYTES))
            server.put("op/config", b"x" * MAX_VALUE_BYTES)
            with pytest.raises(UnusableResponseError, match="exceeds"):
                await client.changes("", 1, 1.0)
            listing = await client.range("")
            assert len(listing.items) == 4
            assert listing.items[0].value == b"x" * MAX_VALUE_BYTES

        play(scenario)


class TestKeysOfHosts:
    """Keys that hosts write and remove."""

    def test_a_written_key_stays_until_it_is_removed(self):
        """It has no lease; the answer has the revision of the write."""

        async def scenario(server, client):
            position = await client.put(KeyValue("hosts/a/x", b"1", 0))
            assert server.items["hosts/a/x"].lease == 0
            (item,) = (await client.range("hosts/")).items
            assert (item.value, item.mod_revision) == (b"1", position.revision)
            assert await client.remove([item])
            assert not (await client.range("hosts/")).items

        play(scenario)

    def test_a_key_that_was_written_again_is_not_removed(self):
        """Nor are the others of the same call."""

        async def scenario(server, client):
            for name in "xy":
                await client.put(KeyValue(f"hosts/a/{name}", b"1", 0))
            items = (await client.range("hosts/")).items
            await client.put(KeyValue("hosts/a/x", b"2", 0))
            assert not await client.remove(items)
            assert len((await client.range("hosts/")).items) == 2

        play(scenario)


class TestFaults:
    """Calls that get no usable answer."""

    @pytest.mark.parametrize("down", ["busy", "reset", "silent"])
    def test_a_store_that_is_down_is_an_error_within_a_second(self, down, monkeypatch):
        """The next call after its return works."""
        monkeypatch.setattr(_store, "CALL_TIMEOUT_S", 0.3)

        async def scenario(server, client):
            server.faults.down = down
            with pytest.raises(StoreError):
                await client.request_json("GET", "/kv-range?prefix=", None, 0.3)
            server.faults.down = ""
            assert (await client.range("")).items == []

        play(scenario)

    def test_a_lost_answer_may_have_taken_effect(self):
        """The caller does not know."""

        async def scenario(server, client):
            server.faults.lose_writes = True
            with pytest.raises(StoreError):
                await client.put(KeyValue("hosts/a/x", b"1", 0))
            assert "hosts/a/x" in server.items

        play(scenario)


class TestSlowLink:
    """Responses that take longer than the store may stay silent."""

    def test_pages_and_changes_that_keep_arriving_are_read(self, monkeypatch):
        """A single large entry once kept hosts from listing the store, again and again."""
        monkeypatch.setattr(_store, "LISTING_SILENCE_S", 2.0)
        body = json.dumps(
            {"items": [], "events": [], "has-more": False, "store-revision": 9}
        ).encode()

        async def serve(reader, writer):
            while head := await reader.readline():
                if head != b"\r\n":
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
                for start in range(0, len(body), 10):
                    writer.write(body[start : start + 10])
                    await asyncio.sleep(0.4)

        async def run():
            server = await asyncio.start_server(serve, IP, 8_169)
            client = MetadataStoreClient((IP, 8_169), Metrics())
            assert (await client.range("")).revision == 9
            assert (await client.changes("", 9, 0.1)).position.revision == 9
            client.connection.close()
            server.close()

        asyncio.run(run())

    def test_a_listing_does_not_wait_for_values_that_are_too_large_to_keep(self):
        """Over a slow link they once kept a host from all changes for seconds."""

        async def scenario(server, client):
            config = os.urandom(20_000)
            server.put("op/config", config)
            for number in range(4):
                server.put(f"servers/i-{number}", b"x")
                server.put(f"servers/i-{number}-large", os.urandom(MAX_VALUE_BYTES))
            server.faults.bytes_per_s = SLOW_BYTES_PER_S
            async with asyncio.timeout(MAX_VALUE_BYTES / SLOW_BYTES_PER_S):
                listing = await client.range("")
            assert {item.key: item.value for item in listing.items} == {
                "op/config": config,
                **{f"servers/i-{number}": b"x" for number in range(4)},
                **{f"servers/i-{number}-large": b"" for number in range(4)},
            }
            assert listing.revision == server.revision

        play(scenario)

    def test_a_change_during_an_interrupted_listing_is_not_missed(self):
        """The listing is complete up to its revision, whatever was read before that was known."""

        async def scenario(server, client):
            server.put("servers/i-1", b"x")
            server.put("servers/i-2", os.urandom(MAX_VALUE_BYTES))
            fetch_page = client.fetch_page

            async def change_and_fetch(path, on_body=None):
                server.put("servers/i-1", b"y%d" % server.revision)
                return await fetch_page(path, on_body)

            client.fetch_page = change_and_fetch
            listing = await client.range("")
            client.fetch_page = fetch_page
            changes = await client.changes("", listing.revision, 0.1)
            values = {item.key: item.value for item in listing.items}
            values |= {event.key: event.value for event in changes.events}
            assert values["servers/i-1"] == server.items["servers/i-1"].value

        play(scenario)

    def test_a_starting_host_does_not_wait_for_page_after_page(self):
        """It handles no packets while it lists the keys for the first time."""

        async def scenario(server, client):
            for number in range(8):
                server.put(f"servers/i-{number}", os.urandom(MAX_VALUE_BYTES))
            server.faults.delay_s = 0.2
            with pytest.raises(StoreError):
                await asyncio.to_thread(list_keys_blocking, (IP, 8_169), 1.0, 1.0)

        play(scenario)
