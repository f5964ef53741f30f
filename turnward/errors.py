# SPDX-License-Identifier: BSD-3-Clause
"""Root of the exception tree; each sub-package derives its own errors from it."""

__all__ = ["TurnwardError"]


class TurnwardError(Exception):
    """Base class of all errors raised by turnward.

    Parameters
    ----------
    message : str
        What went wrong.
    advice : str, optional
        What the reader can do about it.
    """

    def __init__(self, message, advice=""):
        super().__init__(message)
        self.advice = advice

    def __str__(self):
        text = super().__str__()
        return f"{text} ({self.advice})" if self.advice else text
