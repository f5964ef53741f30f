# SPDX-License-Identifier: BSD-3-Clause
"""Writes claims before calls that may not be repeated."""

import msgspec
from twisted.internet.defer import Deferred

from turnward.claims import ClaimRegister, ClaimResult, ClaimRow
from turnward.router.task import TaskBase, Tick

__all__ = ["ClaimTask", "KeepClaim", "ReleaseClaim", "TakeClaim"]


class TakeClaim(msgspec.Struct, frozen=True, eq=False):
    """A call waits for its claim; the answer is a ``ClaimResult``."""

    row: ClaimRow
    epoch: int
    answer: Deferred


class ReleaseClaim(msgspec.Struct, frozen=True, eq=False):
    """The claimed call was proved not to have run."""

    row: ClaimRow


class KeepClaim(msgspec.Struct, frozen=True, eq=False):
    """The call goes out although the table did not answer."""

    row: ClaimRow


class ClaimTask(TaskBase):
    """Owns the claim register; claims that come while one write runs share the next."""

    log_prefix = "claims"

    def __init__(self, context, register: ClaimRegister, on_fenced):
        super().__init__(context.reactor, 1.0, on_fenced)
        self.register = register

    async def handle(self, messages):
        """See ``TaskBase.handle``."""
        for message in messages:
            if isinstance(message, TakeClaim):
                self.register.claim(message.row, message.epoch).addCallback(
                    self._answer, message.answer
                )
            elif isinstance(message, ReleaseClaim):
                self.register.release(message.row)
            elif isinstance(message, KeepClaim):
                self.register.keep(message.row)
        await self.register.flush()
        released = any(isinstance(message, ReleaseClaim | Tick) for message in messages)
        if released and self.register.abandoned_count:
            await self.register.remove_abandoned()

    def _answer(self, result: ClaimResult, waiter: Deferred) -> None:
        if not waiter.called:
            waiter.callback(result)
