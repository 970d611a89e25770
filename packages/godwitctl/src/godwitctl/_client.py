"""Implements the HTTP client of the resource API."""

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
    """Calls the resource API of one entry host; use it as an async context manager.

    Attributes:
        base_url: The URL of the API, without a path.
        token: The bearer token, or an empty string for none.
        ssl_context: The TLS settings, or None for plain HTTP.
        session: The HTTP session, or None before the context is entered.
    """

    __slots__ = ("base_url", "session", "ssl_context", "token")

    def __init__(self, address: str, token: str, ca_file: str) -> None:
        """Initialize a client.

        Args:
            address: The API's host and port, for example ``127.0.0.1:4003``.
            token: The bearer token, or an empty string for none.
            ca_file: The path of the CA certificate to trust, or an empty string for plain HTTP.
        """
        scheme = "https" if ca_file else "http"
        self.base_url = f"{scheme}://{address}"
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
        """Send a request and return the decoded response.

        Args:
            method: The HTTP method.
            path: The path of the resource.
            body: The JSON value to send, or None for no body.
            query: The query parameters.

        Returns:
            The JSON value in the response. If the API reports problems, sends no JSON or does not
            respond within `CALL_TIMEOUT_S`, the problems.
        """
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        data = None if body is None else msgspec.json.encode(body)
        try:
            async with self.session.request(
                method, self.base_url + path, data=data, params=query, timeout=timeout
            ) as response:
                return decode_response(response.status, await response.read())
        except (aiohttp.ClientError, TimeoutError) as error:
            message = f"{self.base_url} does not answer: {type(error).__name__} {error}"
            return Err([Problem(ErrorKind.TIMED_OUT, message)])

    async def get_text(self, path: str) -> Result[str, list[Problem]]:
        """Return the body of a response as text, whatever its status.

        Without a response within `CALL_TIMEOUT_S`, a problem is returned.
        """
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self.session.get(self.base_url + path, timeout=timeout) as response:
                return Ok(await response.text())
        except (aiohttp.ClientError, TimeoutError) as error:
            message = f"{self.base_url} does not answer: {type(error).__name__} {error}"
            return Err([Problem(ErrorKind.TIMED_OUT, message)])

    async def stream_lines(self, path: str, **query: str) -> AsyncIterator[Any]:
        """Yield the JSON lines of a streamed response until the server ends it; has no timeout.

        Raises:
            aiohttp.ClientError: The connection failed.
        """
        timeout = aiohttp.ClientTimeout(total=None)
        async with self.session.get(
            self.base_url + path, params=query, timeout=timeout
        ) as response:
            async for line in response.content:
                yield msgspec.json.decode(line)


def decode_response(status: int, body: bytes) -> Result[Any, list[Problem]]:
    """Decode the body of a response: its JSON value, or the problems that it reports."""
    try:
        document = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return Err([Problem(ErrorKind.BAD_JSON, f"HTTP status {status} without JSON")])
    if status == 200:
        return Ok(document)
    return Err([decode_problem(entry) for entry in document.get("errors", [])])


def decode_problem(entry: dict[str, Any]) -> Problem:
    """Decode one entry of the "errors" in a response."""
    versions = entry.get("versions")
    return Problem(
        ErrorKind(entry["kind"]),
        entry["message"],
        entry.get("field", ""),
        (versions[0], versions[1]) if versions else None,
    )
