# SPDX-License-Identifier: BSD-3-Clause
"""Runs the state charts in ``charts/``."""

from functools import cache
from pathlib import Path

import msgspec
from transitions import Machine

from turnward.errors import TurnwardError

__all__ = ["Chart", "ChartError", "StateMachine", "load_chart"]

_CHARTS = Path(__file__).with_name("charts")


class ChartError(TurnwardError):
    """A state chart file is wrong."""


class ChartTransition(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One arrow of a chart."""

    trigger: str
    source: tuple[str, ...]
    dest: str


class Chart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A state chart as its file has it."""

    initial: str
    states: tuple[str, ...]
    transitions: tuple[ChartTransition, ...]


@cache
def load_chart(name: str) -> Chart:
    """Read a chart by its name.

    Raises
    ------
    ChartError
        The file is damaged or names a state that it does not list.
    """
    text = (_CHARTS / f"{name}.toml").read_bytes()
    try:
        chart = msgspec.toml.decode(text, type=Chart)
    except msgspec.DecodeError as failure:
        raise ChartError(f"{name}: {failure}") from failure
    used = {chart.initial}
    for arrow in chart.transitions:
        used.update(arrow.source, (arrow.dest,))
    if not used <= set(chart.states):
        raise ChartError(f"{name}: states not listed: {sorted(used - set(chart.states))}")
    return chart


@cache
def _shared_machine(name: str) -> Machine:
    """Return one machine a chart; it serves any number of models."""
    chart = load_chart(name)
    arrows = [
        {"trigger": arrow.trigger, "source": list(arrow.source), "dest": arrow.dest}
        for arrow in chart.transitions
    ]
    return Machine(
        model=None,
        states=list(chart.states),
        transitions=arrows,
        initial=chart.initial,
        auto_transitions=False,
        ignore_invalid_triggers=True,
    )


class StateMachine:
    """One thing's state under a chart; triggers that do not apply are ignored.

    Examples
    --------
    >>> machine = StateMachine("endpoint")
    >>> machine.fire("warmed")
    True
    >>> machine.state
    'ready'
    >>> machine.fire("warmed")
    False
    """

    __slots__ = ("_chart", "state")

    def __init__(self, chart_name: str):
        self._chart = chart_name
        self.state = load_chart(chart_name).initial

    def fire(self, trigger: str) -> bool:
        """Apply a trigger; True when the state changed."""
        machine = _shared_machine(self._chart)
        for arrow in machine.get_transitions(trigger, self.state):
            self.state = arrow.dest
            return True
        return False
