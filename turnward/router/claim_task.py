# SPDX-License-Identifier: BSD-3-Clause
"""Writes claims to the store before calls that must not run twice."""

import msgspec
from twisted.internet.defer import Deferred

from turnward.claims import ClaimRegister, ClaimResult, ClaimRow
from turnward.router.task import TaskBase, Tick

__all__ = ["ClaimTask", "KeepClaim", "ReleaseClaim", "TakeClaim"]


class TakeClaim(msgspec.Struct, frozen=True, eq=False):
    """Take the claim of a waiting call; the answer is a ``ClaimResult``."""

    row: ClaimRow
    epoch: int
    answer: Deferred


class ReleaseClaim(msgspec.Struct, frozen=True, eq=False):
    """Release the claim of a call that is known not to have run."""

    row: ClaimRow


class KeepClaim(msgspec.Struct, frozen=True, eq=False):
    """Keep the claim of a call that is made although the table did not respond."""

    row: ClaimRow


class ClaimTask(TaskBase):
    """Owns the claim register; claims that arrive during a write are batched into the next."""

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
        may_release = any(isinstance(message, ReleaseClaim | Tick) for message in messages)
        if may_release and self.register.abandoned_count:
            await self.register.remove_abandoned()

    def _answer(self, result: ClaimResult, answer: Deferred) -> None:
        if not answer.called:
            answer.callback(result)
