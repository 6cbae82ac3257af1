import random

import msgspec
import pytest
from hypothesis import example, given, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from primrosepier.standin_answers import Answer, make_output_tokens
from primrosepier.stream_continuation import (
    StreamContinuation,
    StreamState,
    parse_position,
)

TEXTS = st.lists(st.text(max_size=6), min_size=1, max_size=8)
CHECK = settings(derandomize=True, deadline=None, max_examples=150)


def make_events(tokens, identity="a", start=0):
    answer = Answer(identity, True, "m", "f", list(tokens), 10, 4)
    events = list(answer.render_events(start))
    return [*events, answer.render_usage_event(), b"data: [DONE]\n\n"]


def split_randomly(data, rng):
    """Yield bytes in pieces of random sizes."""
    while data:
        size = rng.randint(1, 40)
        yield data[:size]
        data = data[size:]


def feed(continuation, events, rng):
    return b"".join(
        continuation.feed(piece) for piece in split_randomly(b"".join(events), rng)
    )


def read_text(data):
    lines = [line[6:] for line in data.split(b"\n") if line.startswith(b"data: {")]
    events = [msgspec.json.decode(line) for line in lines]
    choices = [event["choices"][0] for event in events if event["choices"]]
    return "".join(choice["delta"].get("content") or "" for choice in choices)


def read_ids(data):
    lines = data.split(b"\n")
    return [line[4:].decode() for line in lines if line.startswith(b"id: ")]


@given(tokens=TEXTS, seed=st.integers(0, 9))
@CHECK
@example(tokens=["usage"], seed=0)
def test_a_stream_is_forwarded_whole_and_numbered_for_any_chunk_sizes(tokens, seed):
    continuation = StreamContinuation(seed=1)
    continuation.begin(False)
    data = feed(continuation, make_events(tokens), random.Random(seed))
    assert continuation.state is StreamState.ENDED
    assert continuation.decode_text() == read_text(data) == "".join(tokens)
    numbers = [parse_position(text).event_number for text in read_ids(data)]
    assert numbers == list(range(1, len(numbers) + 1))
    assert b'"usage":' not in data and continuation.cached_tokens == 4


@given(tokens=TEXTS, seed=st.integers(0, 9), data=st.data())
@CHECK
def test_a_caller_resumes_after_any_event_at_another_router(tokens, seed, data):
    first = StreamContinuation(seed=1)
    first.begin(False)
    sent = feed(first, make_events(tokens), random.Random(seed))
    ids = read_ids(sent)
    if not ids:
        return
    taken = data.draw(st.integers(1, len(ids)))
    position = parse_position(ids[taken - 1])
    second = StreamContinuation(seed=position.seed, resume_position=position)
    second.begin(False)
    rest = feed(second, make_events(tokens, "b"), random.Random(seed + 1))
    head = sent[: sent.index(b"id: " + ids[taken - 1].encode())]
    head = sent[: sent.index(b"\n\n", len(head)) + 2]
    assert second.state is StreamState.ENDED
    assert read_text(head + rest) == "".join(tokens)
    numbers = [parse_position(text).event_number for text in read_ids(rest)]
    assert numbers == sorted(set(numbers)) and all(n > taken for n in numbers)


def test_a_resumed_stream_with_other_text_is_not_forwarded():
    first = StreamContinuation(seed=1)
    first.begin(False)
    ids = read_ids(first.feed(b"".join(make_events(["one ", "two "]))))
    second = StreamContinuation(seed=1, resume_position=parse_position(ids[0]))
    second.begin(False)
    assert second.feed(b"".join(make_events(["uno ", "two "]))) == b""
    assert second.state is StreamState.MISMATCHED


def test_a_resumed_stream_with_shorter_text_gets_no_end_marker():
    first = StreamContinuation(seed=1)
    first.begin(False)
    ids = read_ids(first.feed(b"".join(make_events(["one ", "two "]))))
    second = StreamContinuation(seed=1, resume_position=parse_position(ids[1]))
    second.begin(False)
    assert second.feed(b"".join(make_events(["one "]))) == b""
    assert second.state is StreamState.MISMATCHED


def test_an_event_of_another_answer_is_dropped_and_ends_the_attempt():
    continuation = StreamContinuation(seed=1)
    continuation.begin(False)
    events, other_events = make_events(["a", "b"]), make_events(["x"], "other")
    data = continuation.feed(events[0] + other_events[0] + events[1])
    assert continuation.state is StreamState.CROSSED
    assert read_text(data) == "a"


def test_the_usage_event_is_forwarded_on_request():
    continuation = StreamContinuation(seed=1, wants_usage=True)
    continuation.begin(False)
    assert b'"usage"' in continuation.feed(b"".join(make_events(["a"])))


def test_a_missing_end_marker_after_the_finish_reason_is_added():
    continuation = StreamContinuation(seed=1)
    continuation.begin(False)
    continuation.feed(make_events(["a"])[0])
    assert continuation.finish_early() == b"data: [DONE]\n\n"


@pytest.mark.parametrize(
    "delta",
    [
        b'"tool_calls":[{"index":0}]',
        b'"reasoning_content":"x"',
        b'"function_call":{"name":"f"}',
        b'"a_later_field":1',
    ],
)
def test_answers_with_more_than_text_are_forwarded_but_not_continuable(delta):
    continuation = StreamContinuation(seed=1)
    continuation.begin(False)
    assert continuation.feed(make_events(["a"])[0])
    event = b'data: {"id":"a","choices":[{"delta":{%s}}]}\n\n' % delta
    assert delta in continuation.feed(event)
    assert not continuation.continuable


def test_an_event_with_only_a_role_is_forwarded_once():
    event = b'data: {"id":"a","choices":[{"delta":{"role":"assistant"}}]}\n\n'
    continuation = StreamContinuation(seed=1)
    continuation.begin(False)
    assert continuation.feed(event)
    continuation.begin(True)
    assert continuation.feed(event) == b""


def test_an_error_event_of_the_endpoint_is_not_forwarded():
    continuation = StreamContinuation(seed=1)
    continuation.begin(False)
    assert (
        continuation.feed(b'data: {"error": {"message": "x"}}\n\ndata: [DONE]\n\n')
        == b""
    )
    assert continuation.state is StreamState.FAILED


def test_ids_of_the_endpoint_are_replaced():
    continuation = StreamContinuation(seed=1)
    continuation.begin(False)
    event = make_events(["a"])[0]
    assert continuation.feed(b"event: token\nid: 9\n" + event).startswith(b"id: 1.1.")


@given(data=st.binary(max_size=300))
@CHECK
def test_arbitrary_bytes_raise_no_exception(data):
    continuation = StreamContinuation(seed=1)
    continuation.begin(False)
    continuation.feed(data)
    continuation.feed(b"data: " + data + b"\n\n")


@given(text=st.text(max_size=60))
@CHECK
def test_arbitrary_text_parses_as_a_position_or_none(text):
    position = parse_position(text)
    assert position is None or parse_position(text) == position


class StreamContinuationMachine(RuleBasedStateMachine):
    """Attempts that break off anywhere; endpoints resume or repeat the answer."""

    @initialize(tokens=st.lists(st.text(min_size=1, max_size=4), min_size=2))
    def start(self, tokens):
        self.tokens = tokens
        self.continuation = StreamContinuation(seed=3)
        self.sent = b""
        self.pending_events = []
        self.attempts = 0

    @rule(resumes=st.booleans())
    def begin(self, resumes):
        if self.continuation.state is StreamState.ENDED:
            return
        self.continuation.begin(resumes)
        self.attempts += 1
        start = 0
        if resumes:
            start = self.count_delivered_tokens()
        self.pending_events = make_events(self.tokens, f"a{self.attempts}", start)

    def count_delivered_tokens(self):
        delivered = self.continuation.decode_text()
        for start in range(len(self.tokens) + 1):
            if "".join(self.tokens[:start]) == delivered:
                return start
        raise AssertionError("half a token was delivered")

    @precondition(lambda self: self.pending_events)
    @rule(count=st.integers(1, 4), half=st.booleans())
    def receive(self, count, half):
        events, self.pending_events = (
            self.pending_events[:count],
            self.pending_events[count:],
        )
        data = b"".join(events)
        if half and self.pending_events:
            data += self.pending_events[0][:20]
            self.pending_events = []
        self.sent += self.continuation.feed(data)

    @precondition(lambda self: self.pending_events)
    @rule()
    def receive_other_answer(self):
        if self.continuation.event_prefix:
            self.sent += self.continuation.feed(make_events(["other"], "z")[0])
            self.pending_events = []

    @invariant()
    def caller_has_an_ordered_prefix(self):
        if not hasattr(self, "sent"):
            return
        whole = "".join(self.tokens)
        text = read_text(self.sent)
        assert whole.startswith(text)
        numbers = [parse_position(i).event_number for i in read_ids(self.sent)]
        assert numbers == list(range(1, len(numbers) + 1))
        if self.sent.endswith(b"[DONE]\n\n"):
            assert text == whole

    @invariant()
    def nothing_is_mismatched(self):
        if hasattr(self, "continuation"):
            assert self.continuation.state is not StreamState.MISMATCHED


TestStreamContinuation = StreamContinuationMachine.TestCase
TestStreamContinuation.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=20
)


def test_output_tokens_are_deterministic():
    assert (
        make_output_tokens("x", 2)
        == make_output_tokens("x", 2)
        != make_output_tokens("y", 2)
    )
