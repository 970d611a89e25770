"""Calls of the resource API."""

import ssl
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import msgspec
from godwitway.errors import ErrorKind, Problem
from result import Err, Ok, Result

__all__ = ["ApiClient"]

CALL_TIMEOUT_S = 15.0


class ApiClient:
    """Calls the resource API of one entry host.

    Attributes:
        base_url: The URL of the API.
        token: The bearer token, or an empty string.
        ca_file: The path of the certificate that signed the API's, or an empty string.
    """

    __slots__ = ("base_url", "session", "ssl_context", "token")

    def __init__(self, api: str, token: str, ca_file: str) -> None:
        scheme = "https" if ca_file else "http"
        self.base_url = f"{scheme}://{api}"
        self.token = token
        self.ssl_context = ssl.create_default_context(cafile=ca_file) if ca_file else None
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "ApiClient":
        """Open the HTTP session."""
        headers = {"Authorization": f"Bearer {self.token}"} if self.token else {}
        connector = aiohttp.TCPConnector(ssl=self.ssl_context) if self.ssl_context else None
        self.session = aiohttp.ClientSession(headers=headers, connector=connector)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close the HTTP session."""
        if self.session is not None:
            await self.session.close()

    async def call(
        self, method: str, path: str, body: Any = None, **query: str
    ) -> Result[Any, list[Problem]]:
        """Call the API and return the decoded answer or its problems."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        data = None if body is None else msgspec.json.encode(body)
        try:
            async with self.session.request(
                method, self.base_url + path, data=data, params=query, timeout=timeout
            ) as response:
                return decode_answer(response.status, await response.read())
        except (aiohttp.ClientError, TimeoutError) as error:
            message = f"{self.base_url} does not answer: {type(error).__name__} {error}"
            return Err([Problem(ErrorKind.TIMED_OUT, message)])

    async def get_text(self, path: str) -> Result[str, list[Problem]]:
        """Return the text at a path."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self.session.get(self.base_url + path, timeout=timeout) as response:
                return Ok(await response.text())
        except (aiohttp.ClientError, TimeoutError) as error:
            message = f"{self.base_url} does not answer: {type(error).__name__} {error}"
            return Err([Problem(ErrorKind.TIMED_OUT, message)])

    async def stream_lines(self, path: str, **query: str) -> AsyncIterator[Any]:
        """Yield the JSON lines of a stream."""
        timeout = aiohttp.ClientTimeout(total=None)
        async with self.session.get(
            self.base_url + path, params=query, timeout=timeout
        ) as response:
            async for line in response.content:
                yield msgspec.json.decode(line)


def decode_answer(status: int, body: bytes) -> Result[Any, list[Problem]]:
    """Return a decoded answer or the problems that it names."""
    try:
        answer = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return Err([Problem(ErrorKind.BAD_JSON, f"HTTP status {status} without JSON")])
    if status == 200:
        return Ok(answer)
    return Err([decode_problem(raw) for raw in answer.get("errors", [])])


def decode_problem(raw: dict[str, Any]) -> Problem:
    """Return a problem as the API wrote it."""
    versions = raw.get("versions")
    return Problem(
        ErrorKind(raw["kind"]),
        raw["message"],
        raw.get("field", ""),
        (versions[0], versions[1]) if versions else None,
    )
