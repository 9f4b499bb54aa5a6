"""Numbers of runs rise, and tell apart the runs of durable and of best-effort jobs."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ..core.cluster.run_numbers import choose_run_number, find_token, is_durable_run


@given(token=st.integers(1, 10**9), last=st.integers(0, 10**13), is_durable=st.booleans())
def test_a_run_number_exceeds_the_last_and_shows_whether_its_job_is_durable(
    token: int, last: int, is_durable: bool
) -> None:
    number = choose_run_number(token=token, last=last, is_durable=is_durable)
    assert number > last
    assert is_durable_run(number) is is_durable
    assert find_token(number) >= token


@given(token=st.integers(1, 10**9), is_durable=st.booleans())
def test_the_first_run_under_a_token_names_it(token: int, is_durable: bool) -> None:
    assert find_token(choose_run_number(token=token, last=0, is_durable=is_durable)) == token
