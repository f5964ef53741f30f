# SPDX-License-Identifier: BSD-3-Clause
"""State machines defined by the state charts in ``charts/``."""

from functools import cache
from pathlib import Path

import msgspec
from transitions import Machine

from turnward.errors import TurnwardError

__all__ = ["Chart", "ChartError", "StateMachine", "load_chart"]

_CHARTS = Path(__file__).with_name("charts")


class ChartError(TurnwardError):
    """A state chart file is invalid."""


class ChartTransition(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A transition from any of its source states to ``dest``."""

    trigger: str
    source: tuple[str, ...]
    dest: str


class Chart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A state chart, as defined in its file."""

    initial: str
    states: tuple[str, ...]
    transitions: tuple[ChartTransition, ...]


@cache
def load_chart(name: str) -> Chart:
    """Load a state chart by name.

    Raises
    ------
    ChartError
        The file cannot be decoded, or uses a state that it does not declare.
    """
    text = (_CHARTS / f"{name}.toml").read_bytes()
    try:
        chart = msgspec.toml.decode(text, type=Chart)
    except msgspec.DecodeError as error:
        raise ChartError(f"{name}: {error}") from error
    used_states = {chart.initial}
    for transition in chart.transitions:
        used_states.update(transition.source, (transition.dest,))
    if not used_states <= set(chart.states):
        raise ChartError(f"{name}: undeclared states: {sorted(used_states - set(chart.states))}")
    return chart


@cache
def _shared_machine(name: str) -> Machine:
    """Return the machine of a chart, which all state machines of that chart share."""
    chart = load_chart(name)
    transitions = [
        {"trigger": transition.trigger, "source": list(transition.source), "dest": transition.dest}
        for transition in chart.transitions
    ]
    return Machine(
        model=None,
        states=list(chart.states),
        transitions=transitions,
        initial=chart.initial,
        auto_transitions=False,
        ignore_invalid_triggers=True,
    )


class StateMachine:
    """The current state under a chart; triggers without a transition from it are ignored.

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
        """Apply a trigger; return whether there was a transition for it."""
        machine = _shared_machine(self._chart)
        for transition in machine.get_transitions(trigger, self.state):
            self.state = transition.dest
            return True
        return False
