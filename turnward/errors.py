# SPDX-License-Identifier: BSD-3-Clause
"""Base class of the exceptions; each subpackage derives its own from it."""

__all__ = ["TurnwardError"]


class TurnwardError(Exception):
    """Base class of all errors raised by turnward.

    Parameters
    ----------
    message : str
        Description of the error.
    advice : str, optional
        What the user can do about it.
    """

    def __init__(self, message, advice=""):
        super().__init__(message)
        self.advice = advice

    def __str__(self):
        text = super().__str__()
        return f"{text} ({self.advice})" if self.advice else text
