# SPDX-License-Identifier: BSD-3-Clause
"""Explores every interleaving of two senders and two changes of holders with ``ClaimHolder``."""

import copy

import pytest

from turnward.claims.pairs import ClaimHolder, HeldClaim, HoldOutcome, ShardRow

KEY = "claim/w/id"
EPOCHS = {1: ("A", "B"), 2: ("A", "C"), 3: ("C", "D")}


def row_at(epoch):
    return ShardRow(0, epoch, EPOCHS[epoch])


class State:
    """State of the holders, of the senders and of the change of holders."""

    def __init__(self):
        self.holders = {name: ClaimHolder() for name in "ABCD"}
        for name in EPOCHS[1]:
            self.holders[name].install(row_at(1), ())
        self.step = 0
        self.handed_over = ()
        self.sent = [None, None]
        self.progress = [(0, 0), (0, 0)]

    def key(self):
        held = tuple(
            (
                name,
                shard.epoch,
                shard.serving,
                tuple(sorted(c.token for c in shard.claims.values())),
            )
            for name, holder in sorted(self.holders.items())
            for shard in holder._shards.values()
        )
        return held, self.step, tuple(c.token for c in self.handed_over), tuple(self.progress)


def change_steps(hand_over):
    """Return the steps of two changes of holders; exploration covers every prefix of them."""

    def change_holders(first, second, epoch):
        def freeze(state):
            state.handed_over = state.holders[first].freeze(0) if hand_over else ()
            if not hand_over:
                state.holders[first].freeze(0)

        def install_at_new_holder(state):
            state.holders[second].install(row_at(epoch), state.handed_over)

        def resume(state):
            state.holders[first].install(row_at(epoch), state.handed_over)

        return [freeze, install_at_new_holder, resume]

    return change_holders("A", "C", 2) + change_holders("C", "D", 3)


def successors(state, steps):
    """Yield every successor of a state."""
    if state.step < len(steps):
        successor = copy.deepcopy(state)
        steps[state.step](successor)
        successor.step += 1
        yield successor
    for sender in (0, 1):
        epoch, position = state.progress[sender]
        if epoch == 0:
            for view in EPOCHS:
                successor = copy.deepcopy(state)
                successor.progress[sender] = (view, 0)
                yield successor
        elif position < 2:
            successor = copy.deepcopy(state)
            claim = HeldClaim(KEY, f"token-{sender}", "f")
            answer = successor.holders[EPOCHS[epoch][position]].hold(0, epoch, claim)
            if answer.outcome is HoldOutcome.HELD:
                successor.progress[sender] = (epoch, position + 1)
            elif answer.outcome is HoldOutcome.STALE:
                successor.progress[sender] = (0, 0)
            else:
                successor.progress[sender] = (epoch, 9)
            if successor.key() != state.key():
                yield successor


def count_double_runs(hand_over):
    """Return the number of states, and of those in which both senders may send."""
    steps = change_steps(hand_over)
    first = State()
    seen_keys, pending, double_count = {first.key()}, [first], 0
    while pending:
        state = pending.pop()
        double_count += all(position == 2 for _, position in state.progress)
        for successor in successors(state, steps):
            if successor.key() not in seen_keys:
                seen_keys.add(successor.key())
                pending.append(successor)
    return len(seen_keys), double_count


def test_no_interleaving_runs_a_call_twice():
    state_count, double_count = count_double_runs(hand_over=True)
    print("claim pairs:", state_count, "states")
    assert state_count > 300
    assert double_count == 0


def test_without_the_hand_over_a_call_may_run_twice():
    assert count_double_runs(hand_over=False)[1] > 0


@pytest.mark.parametrize("epoch", [0, 2])
def test_holder_refuses_every_epoch_but_its_own(epoch):
    holder = ClaimHolder()
    holder.install(row_at(1), ())
    assert holder.hold(0, epoch, HeldClaim(KEY, "t", "f")).outcome is HoldOutcome.STALE


def test_released_claim_may_be_taken_by_another():
    holder = ClaimHolder()
    holder.install(row_at(1), ())
    holder.hold(0, 1, HeldClaim(KEY, "t1", "f"))
    assert holder.release(0, 1, KEY, "t2")
    assert holder.hold(0, 1, HeldClaim(KEY, "t3", "f")).outcome is HoldOutcome.STANDING
    assert holder.release(0, 1, KEY, "t1")
    assert holder.hold(0, 1, HeldClaim(KEY, "t3", "f")).outcome is HoldOutcome.HELD


def test_claim_that_arrives_after_its_release_is_not_recorded():
    holder = ClaimHolder()
    holder.install(row_at(1), ())
    assert holder.release(0, 1, KEY, "t1")
    assert holder.hold(0, 1, HeldClaim(KEY, "t1", "f")).outcome is HoldOutcome.STALE
    assert holder.hold(0, 1, HeldClaim(KEY, "t2", "f")).outcome is HoldOutcome.HELD


class ReleasingState:
    """A claim of both holders of the first epoch that is released while the holders change."""

    def __init__(self):
        self.holders = {name: ClaimHolder() for name in "ABCD"}
        for name in EPOCHS[1]:
            self.holders[name].install(row_at(1), (HeldClaim(KEY, "t", "f"),))
        self.step = 0
        self.handed_over = ()
        self.view = 1
        self.position = 0

    def holders_with_claim(self):
        """Return the holders of the newest epoch that still have the claim."""
        newest_epoch = 1 + self.step // 3
        return [
            name
            for name in EPOCHS[newest_epoch]
            if name in self.holders and KEY in self.holders[name]._shards[0].claims
        ]


def release_successors(state, steps):
    """Yield every successor when a change of holders runs concurrently with a release."""
    if state.step < len(steps):
        successor = copy.deepcopy(state)
        steps[state.step](successor)
        successor.step += 1
        yield successor
    if state.position < 2:
        successor = copy.deepcopy(state)
        if successor.holders[EPOCHS[successor.view][successor.position]].release(
            0, successor.view, KEY, "t"
        ):
            successor.position += 1
        else:
            # A sender that must retry reads the newest row first.
            successor.view, successor.position = 1 + successor.step // 3, 0
        yield successor


def count_stuck_claims():
    """Return the number of final states, and of those in which a holder still has the claim."""
    steps = change_steps(hand_over=True)
    pending, stuck_count, end_count = [ReleasingState()], 0, 0
    for _ in range(20_000):
        if not pending:
            break
        state = pending.pop()
        if state.position == 2 and state.step == len(steps):
            end_count += 1
            stuck_count += bool(state.holders_with_claim())
            continue
        # Retries at a frozen holder do not change the state, so they are not followed.
        pending.extend(
            successor
            for successor in release_successors(state, steps)
            if (successor.step, successor.view, successor.position)
            != (state.step, state.view, state.position)
        )
    return end_count, stuck_count


def test_claim_released_during_a_change_of_holders_is_removed_from_all_holders():
    end_count, stuck_count = count_stuck_claims()
    assert end_count >= 8
    assert stuck_count == 0


def test_release_that_any_holder_confirms_leaves_claims_behind(monkeypatch):
    """The exploration detects claims left behind, whose calls would stay in progress for ever."""

    def release_at_any_time(self, shard, epoch, key, token):
        held = self._shards.get(shard)
        if held is not None and key in held.claims:
            del held.claims[key]
        return True

    monkeypatch.setattr(ClaimHolder, "release", release_at_any_time)
    assert count_stuck_claims()[1] > 0
