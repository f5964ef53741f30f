# SPDX-License-Identifier: BSD-3-Clause
"""HTTP clients of the platform's services."""

from typing import Any

import msgspec

from turnward.http import HttpClient, NotSentError, SentUnansweredError
from turnward.store.core import InstanceListBase, ObjectStoreBase, TableBase
from turnward.store.errors import OutcomeUnknownError, PlatformUnavailableError
from turnward.store.messages import Instance, Row, Transaction, TransactionResult

__all__ = ["HttpInstanceList", "HttpObjectStore", "HttpTable"]

_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503


class _PlatformClient:
    """Base class of the clients; maps HTTP errors to errors of the platform's services."""

    def __init__(self, http: HttpClient, url: str, timeout_s: float):
        self._http = http
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s

    async def _call(self, method: str, path: str, body: bytes = b"") -> bytes | None:
        try:
            response = await self._http.request(
                method, self._url + path, body=body, timeout_s=self._timeout_s
            )
        except NotSentError as error:
            raise PlatformUnavailableError(str(error)) from error
        except SentUnansweredError as error:
            raise OutcomeUnknownError(str(error)) from error
        if response.status == _OK:
            return response.body
        if response.status == _NOT_FOUND:
            return None
        if response.status == _UNAVAILABLE:
            raise PlatformUnavailableError(f"the platform returned status {response.status}")
        raise OutcomeUnknownError(f"the platform returned status {response.status}")

    async def _post(self, path: str, message: Any, response_type: Any) -> Any:
        body = await self._call("POST", path, msgspec.json.encode(message))
        return msgspec.json.decode(body or b"null", type=response_type)


class HttpTable(_PlatformClient, TableBase):
    """The table over HTTP."""

    async def read(self, keys):
        """See ``TableBase.read``."""
        rows = await self._post("/table/read", {"keys": keys}, list[Row])
        return {row.key: row for row in rows}

    async def scan(self, prefix, after="", limit=1000):
        """See ``TableBase.scan``."""
        query = {"prefix": prefix, "after": after, "limit": limit}
        return await self._post("/table/scan", query, list[Row])

    async def transact(self, transaction: Transaction):
        """See ``TableBase.transact``."""
        return await self._post("/table/transact", transaction, TransactionResult)


class HttpObjectStore(_PlatformClient, ObjectStoreBase):
    """The object store over HTTP."""

    async def put(self, name, body):
        """See ``ObjectStoreBase.put``."""
        await self._call("PUT", f"/objects/{name}", body)

    async def get(self, name):
        """See ``ObjectStoreBase.get``."""
        return await self._call("GET", f"/objects/{name}")

    async def names(self, prefix):
        """See ``ObjectStoreBase.names``."""
        return await self._post("/object-names", {"prefix": prefix}, list[str])


class HttpInstanceList(_PlatformClient, InstanceListBase):
    """The instance list over HTTP."""

    async def instances(self):
        """See ``InstanceListBase.instances``."""
        body = await self._call("GET", "/instances")
        return msgspec.json.decode(body or b"[]", type=list[Instance])
