# SPDX-License-Identifier: BSD-3-Clause
"""How a router that does not hold a workspace's tokens gets them for one request.

It asks a holder, which counts what it lends as spent under its own grant before the answer
leaves; see ``loans``. What a request did not use goes back to a holder: the sender
counts it as spent before the message leaves, so a lost message loses tokens and makes none.
"""

from collections.abc import Awaitable, Callable
from enum import StrEnum

import msgspec

from turnward.gateway.holders import HoldersBase
from turnward.gateway.loans import LOANS_PATH, RETURNS_PATH, Loan, LoanAsk, LoanReturn
from turnward.http1 import Http1Error, NotSentError

__all__ = ["ReturnOutcome", "HolderClient"]

#: Holders asked for one request at most; each that is silent costs the answer limit.
_HOLDERS_ASKED = 3
#: Seconds that a holder may take: it may wait for the store itself, but not longer than a
#: request waits there (``prepaid``), and the rest of a request's time is for its endpoint.
_ANSWER_LIMIT_S = 0.25
#: Seconds that a holder may take to answer a message that asks for nothing.
_RETURN_LIMIT_S = 0.25


class ReturnOutcome(StrEnum):
    """What became of tokens that were handed back."""

    TAKEN = "taken"
    NOT_SENT = "not_sent"
    LOST = "lost"


class HolderClient:
    """Asks holders for tokens, and hands tokens back to them.

    Parameters
    ----------
    holders : HoldersBase
        Whom to ask.
    call : callable
        ``await call(address, path, body, timeout_s)`` returns an answer's body or None;
        raises ``Http1Error`` when there was no answer.
    log : GatewayLog
        Told of holders that do not answer.
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

    async def borrow(self, ask: LoanAsk) -> Loan:
        """Return the first loan that a holder gives, or that the tokens are exhausted."""
        body = msgspec.msgpack.encode(ask)
        for address in self._holders.other_holders(ask.workspace)[:_HOLDERS_ASKED]:
            loan = await self._ask(address, ask.workspace, body)
            if loan is None:
                continue
            if loan.tokens > 0:
                self._log.event(
                    "prepaid.borrowed",
                    workspace=ask.workspace,
                    lender=address,
                    tokens=loan.tokens,
                    wanted=ask.required_tokens,
                )
            if loan.tokens > 0 or loan.exhausted:
                return loan
        return Loan(0)

    async def _ask(self, address: str, workspace: str, body: bytes) -> Loan | None:
        try:
            answer = await self._call(address, LOANS_PATH, body, _ANSWER_LIMIT_S)
            return msgspec.msgpack.decode(answer, type=Loan) if answer is not None else None
        except (Http1Error, msgspec.DecodeError) as failure:
            self._note_silent(address, workspace, failure)
            return None

    def _note_silent(self, address: str, workspace: str, failure: Exception) -> None:
        self._holders.mark_unresponsive(address)
        self._log.failure("holder.silent", holder=address, workspace=workspace, cause=str(failure))

    async def return_tokens(self, workspace: str, tokens: int) -> ReturnOutcome:
        """Send tokens that the caller counts as spent to a holder."""
        body = msgspec.msgpack.encode(LoanReturn(workspace, tokens))
        for address in self._holders.other_holders(workspace)[:_HOLDERS_ASKED]:
            try:
                answer = await self._call(address, RETURNS_PATH, body, _RETURN_LIMIT_S)
            except NotSentError as failure:
                self._note_silent(address, workspace, failure)
                continue
            except Http1Error as failure:
                self._note_silent(address, workspace, failure)
                return ReturnOutcome.LOST
            return ReturnOutcome.TAKEN if answer is not None else ReturnOutcome.LOST
        return ReturnOutcome.NOT_SENT
