# SPDX-License-Identifier: BSD-3-Clause
"""A client of the operators' HTTP API for the command line."""

import urllib.error
import urllib.request
from pathlib import Path
from urllib.parse import urlencode

import msgspec

from turnward.errors import TurnwardError

__all__ = ["CommandError", "OperatorClient"]


class CommandError(TurnwardError):
    """A command failed."""


class OperatorClient:
    """Sends requests to one router.

    Parameters
    ----------
    url : str
        Base URL of a router's HTTP API for operators.
    key_file : str
        File that holds the operators' key.
    timeout_s : float
        Limit for one request, in seconds.
    """

    def __init__(self, url: str, key_file: str, timeout_s: float = 10.0):
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        try:
            self._key = Path(key_file).read_text().strip()
        except OSError as failure:
            raise CommandError(f"key file: {failure}") from failure

    def call(self, method: str, path: str, body=None, query: dict[str, str] | None = None):
        """Send a request and return the decoded response.

        Raises
        ------
        CommandError
            The router rejected the request or could not be reached.
        """
        url = self._url + path
        if query:
            url += "?" + urlencode(query)
        data = msgspec.json.encode(body) if body is not None else None
        request = urllib.request.Request(url, data=data, method=method)
        request.add_header("Authorization", f"Bearer {self._key}")
        try:
            with urllib.request.urlopen(request, timeout=self._timeout_s) as response:
                return msgspec.json.decode(response.read())
        except urllib.error.HTTPError as failure:
            raise CommandError(_error_message(failure)) from failure
        except (OSError, msgspec.DecodeError) as failure:
            raise CommandError(f"{url}: {failure}", "ask another router") from failure


def _error_message(failure: urllib.error.HTTPError) -> str:
    body = failure.read()
    try:
        content = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return f"status {failure.code}: {body[:200]!r}"
    faults = content.get("faults") or [content.get("conflict") or content.get("unavailable")]
    return f"status {failure.code}:\n" + "\n".join(f"  {fault}" for fault in faults)
