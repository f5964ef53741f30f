# SPDX-License-Identifier: BSD-3-Clause
"""Client by which a router that holds no tokens of a workspace borrows them for one request.

The holder counts lent tokens as spent under its own grant before it responds; see ``loans``.
Tokens that the request did not use are returned to a holder. The sender counts them as spent
before it sends the message, so that a lost message can lose tokens but never create any.
"""

from collections.abc import Awaitable, Callable
from enum import StrEnum

import msgspec

from turnward.gateway.decoding import decode_message
from turnward.gateway.holders import HoldersBase
from turnward.gateway.loans import LOANS_PATH, RETURNS_PATH, Loan, LoanAsk, LoanReturn
from turnward.http1 import Http1Error, NotSentError

__all__ = ["LENDING_WAIT_S", "HolderClient", "ReturnOutcome"]

#: Limit of holders asked for one request; each that does not respond costs a timeout.
_MAX_HOLDERS = 3
#: Includes the time that a holder may wait for the store, but is no longer than a request waits
#: there itself: the rest of the request's time is for its endpoint.
_LOAN_TIMEOUT_S = 0.25
_RETURN_TIMEOUT_S = 0.25
#: Time that a holder waits for the store at most, so that its answer arrives within the timeout.
LENDING_WAIT_S = 0.1


class ReturnOutcome(StrEnum):
    """Outcome of returning tokens to a holder."""

    ACCEPTED = "taken"
    NOT_SENT = "not_sent"
    LOST = "lost"


class HolderClient:
    """Borrows tokens from holders, and returns tokens to them.

    Parameters
    ----------
    holders : HoldersBase
        Holders of each workspace's tokens.
    call : callable
        ``await call(address, path, body, timeout_s)`` returns the response body, or None if the
        request was rejected; raises ``Http1Error`` if there was no response.
    log : GatewayLog
        Logs loans, and holders that do not respond.
    """

    def __init__(
        self,
        holders: HoldersBase,
        call: Callable[[str, bytes, bytes, float], Awaitable[bytes | None]],
        log,
    ):
        self._holders = holders
        self._call = call
        self._log = log

    async def borrow(self, request: LoanAsk) -> Loan:
        """Return the first loan that a holder grants, or an empty loan if none does."""
        body = msgspec.msgpack.encode(request)
        for address in self._holders.other_holders(request.workspace)[:_MAX_HOLDERS]:
            loan = await self._request_loan(address, request.workspace, body)
            if loan is None:
                continue
            if loan.tokens > 0:
                self._log.event(
                    "prepaid.borrowed",
                    workspace=request.workspace,
                    lender=address,
                    tokens=loan.tokens,
                    wanted=request.required_tokens,
                )
            if loan.tokens > 0 or loan.exhausted:
                return loan
        return Loan(0)

    async def _request_loan(self, address: str, workspace: str, body: bytes) -> Loan | None:
        try:
            response = await self._call(address, LOANS_PATH, body, _LOAN_TIMEOUT_S)
            return decode_message(response, Loan) if response is not None else None
        except (Http1Error, msgspec.DecodeError) as error:
            self._mark_unresponsive(address, workspace, error)
            return None

    def _mark_unresponsive(self, address: str, workspace: str, error: Exception) -> None:
        self._holders.mark_unresponsive(address)
        self._log.failure("holder.silent", holder=address, workspace=workspace, cause=str(error))

    async def return_tokens(self, workspace: str, tokens: int) -> ReturnOutcome:
        """Return tokens, which the caller has counted as spent, to a holder."""
        body = msgspec.msgpack.encode(LoanReturn(workspace, tokens))
        for address in self._holders.other_holders(workspace)[:_MAX_HOLDERS]:
            try:
                response = await self._call(address, RETURNS_PATH, body, _RETURN_TIMEOUT_S)
            except NotSentError as error:
                self._mark_unresponsive(address, workspace, error)
                continue
            except Http1Error as error:
                self._mark_unresponsive(address, workspace, error)
                return ReturnOutcome.LOST
            return ReturnOutcome.ACCEPTED if response is not None else ReturnOutcome.LOST
        return ReturnOutcome.NOT_SENT
