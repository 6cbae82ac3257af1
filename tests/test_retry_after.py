import random

import pytest

from primrosepier.retry_after import MAX_REST_S, MAX_TEXT, parse_retry_after

NOW_S = 784111777.5
DATE = b"Sun, 06 Nov 1994 08:49:37 GMT"


@pytest.mark.parametrize(
    ("value", "rest_s"),
    [
        ("3", 3.0),
        ("0.5", 0.5),
        (" 2.25 ", 2.25),
        ("0", 0.0),
        ("-1", 0.0),
        ("1e9", MAX_REST_S),
        ("inf", MAX_REST_S),
        ("-inf", 0.0),
        ("nan", 0.0),
        ("", 0.0),
        ("soon", 0.0),
        ("3 s", 0.0),
        ("1, 2", 0.0),
        ("\xb2", 0.0),
        ("9" * 5000, MAX_REST_S),
    ],
)
def test_seconds_are_bounded_and_other_texts_ask_for_no_rest(value, rest_s):
    request = parse_retry_after(value.encode("latin-1"), b"", NOW_S)
    assert request.rest_s == rest_s
    assert request.text == value.strip()[:MAX_TEXT]


@pytest.mark.parametrize(
    ("value", "rest_s"),
    [
        ("Sun, 06 Nov 1994 08:49:40 GMT", 3.0),
        ("Sunday, 06-Nov-94 08:49:40 GMT", 3.0),
        ("Sun Nov  6 08:49:40 1994", 3.0),
        ("Sun, 06 Nov 1994 08:49:30 GMT", 0.0),
        ("Fri, 31 Dec 9999 23:59:59 GMT", MAX_REST_S),
        ("Sun, 36 Nov 1994 08:49:40 GMT", 0.0),
    ],
)
def test_dates_are_compared_with_the_clock_of_the_endpoint(value, rest_s):
    assert parse_retry_after(value.encode(), DATE, 0.0).rest_s == rest_s


def test_a_date_without_the_date_of_its_response_is_compared_with_the_clock():
    value = b"Sun, 06 Nov 1994 08:49:40 GMT"
    assert parse_retry_after(value, b"", NOW_S).rest_s == 2.5
    assert parse_retry_after(value, b"yesterday", NOW_S).rest_s == 2.5


def test_any_bytes_are_read_as_a_bounded_time():
    rng = random.Random(1)
    pieces = [b"Sun, ", b"06 ", b"Nov ", b"1994 ", b"08:49", b":", b"-", b"+9999", b","]
    for _ in range(20000):
        value = b"".join(rng.choices(pieces, k=rng.randrange(7))) + rng.randbytes(
            rng.randrange(3)
        )
        assert 0 <= parse_retry_after(value, value, NOW_S).rest_s <= MAX_REST_S
