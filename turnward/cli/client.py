# SPDX-License-Identifier: BSD-3-Clause
"""A client of the operators' face, for the command line."""

import urllib.error
import urllib.request
from pathlib import Path
from urllib.parse import urlencode

import msgspec

from turnward.errors import TurnwardError

__all__ = ["CommandError", "OperatorClient"]


class CommandError(TurnwardError):
    """A command did not succeed."""


class OperatorClient:
    """Asks one router.

    Parameters
    ----------
    url : str
        Base URL of a router's operators' face.
    key_file : str
        File that holds the operators' key.
    """

    def __init__(self, url: str, key_file: str, timeout_s: float = 10.0):
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        try:
            self._key = Path(key_file).read_text().strip()
        except OSError as failure:
            raise CommandError(f"key file: {failure}") from failure

    def call(self, method: str, path: str, body=None, query: dict[str, str] | None = None):
        """Send a request and return the decoded answer.

        Raises
        ------
        CommandError
            The router refused, or could not be reached.
        """
        address = self._url + path
        if query:
            address += "?" + urlencode(query)
        data = msgspec.json.encode(body) if body is not None else None
        request = urllib.request.Request(address, data=data, method=method)
        request.add_header("Authorization", f"Bearer {self._key}")
        try:
            with urllib.request.urlopen(request, timeout=self._timeout_s) as response:
                return msgspec.json.decode(response.read())
        except urllib.error.HTTPError as failure:
            raise CommandError(_explain(failure)) from failure
        except (OSError, msgspec.DecodeError) as failure:
            raise CommandError(f"{address}: {failure}", "ask another router") from failure


def _explain(failure: urllib.error.HTTPError) -> str:
    body = failure.read()
    try:
        answer = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return f"status {failure.code}: {body[:200]!r}"
    faults = answer.get("faults") or [answer.get("conflict") or answer.get("unavailable")]
    return f"status {failure.code}:\n" + "\n".join(f"  {fault}" for fault in faults)
