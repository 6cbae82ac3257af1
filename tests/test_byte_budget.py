"""Bytes that the requests in progress may hold."""

import pytest

from primrosepier.byte_budget import LARGE_SHARE, SMALL_BYTES, ByteBudget

LIMIT_BYTES = 10 * SMALL_BYTES


def test_a_reservation_grows_only_while_the_budget_has_room():
    budget = ByteBudget(LIMIT_BYTES)
    with budget.open() as first, budget.open() as second:
        assert first.try_grow(6 * SMALL_BYTES)
        assert not second.try_grow(3 * SMALL_BYTES)
        assert second.try_grow(2 * SMALL_BYTES)
        assert not second.try_grow(2 * SMALL_BYTES + 1)
        assert budget.used_bytes == 8 * SMALL_BYTES


def test_a_reservation_ends_with_its_request():
    budget = ByteBudget(LIMIT_BYTES)
    with pytest.raises(ValueError), budget.open() as reservation:
        assert reservation.try_grow(SMALL_BYTES)
        assert reservation.try_grow(1)
        raise ValueError
    assert budget.used_bytes == 0


def test_large_bodies_leave_room_for_small_ones():
    budget = ByteBudget(LIMIT_BYTES)
    with budget.open() as large, budget.open() as small:
        assert large.try_grow(int(LARGE_SHARE * LIMIT_BYTES))
        assert not large.try_grow(large.size + 1)
        assert small.try_grow(SMALL_BYTES)


def test_a_budget_without_limit_has_room():
    with ByteBudget().open() as reservation:
        assert reservation.try_grow(2**40)
