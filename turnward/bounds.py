# SPDX-License-Identifier: BSD-3-Clause
"""Types of decoded fields, so bounded that every value can be encoded, sent and computed with."""

from typing import Annotated

import msgspec

__all__ = ["MAX_NAME_CHARS", "Count", "NameInHeader", "Integer", "Name", "Number"]

#: Most characters of a name. Some dozens of names fit in a datagram.
MAX_NAME_CHARS = 255
#: Largest integer up to which floating-point numbers hold all integers.
_MAX_INTEGER = 2**53
#: Largest number of a configured or measured quantity, whatever its unit.
_MAX_NUMBER = 1e15

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
#: A name without control characters, so that a header can carry it.
NameInHeader = Annotated[Name, msgspec.Meta(pattern=r"^[^\x00-\x1f\x7f]*$")]
Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_INTEGER)]
Integer = Annotated[int, msgspec.Meta(ge=-_MAX_INTEGER, le=_MAX_INTEGER)]
#: Neither infinite nor without a value.
Number = Annotated[float, msgspec.Meta(ge=-_MAX_NUMBER, le=_MAX_NUMBER)]
