import json
import os
import threading
import time
from types import SimpleNamespace

import anyio
import httpcore
import pytest
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler
from grpclib.encoding.base import CodecBase
from grpclib.server import Server

from primrosepier.demo import open_demo, run_demo_trace
from primrosepier.errors import RequestError, SettingsError
from primrosepier.grpc_traces import trace_channel, trace_server
from primrosepier.log_events import EventsDropped, RequestEnded, RequestReceived
from primrosepier.logs import (
    FLUSH_INTERVAL_S,
    MAX_QUEUED_EVENTS,
    _Writer,
    emit,
    make_log,
    make_trace_header,
    open_action,
)
from primrosepier.request_log import TimedSend, record_request
from primrosepier.settings import LogSettings, parse_settings

ROUTER = """
[router]
host = entry-1
failure_domain = Rennes
callers_address = 127.0.0.1:0
peers_address = 127.0.0.1:0
[platform]
store_address = 127.0.0.1:1
[logs]
"""


def read_lines(directory):
    paths = sorted(directory.iterdir())
    return [json.loads(line) for path in paths for line in path.open()]


def make_file_log(directory, name="entry-1", level="info"):
    return make_log(name, LogSettings(level, str(directory / f"{name}.log")))


def test_settings_select_level_and_sink():
    settings = parse_settings(ROUTER + "level = error\nsink = none\n", "r.ini")
    assert settings.logs == LogSettings("error", "none")
    with pytest.raises(SettingsError) as caught:
        parse_settings(ROUTER + "level = loud\n", "r.ini")
    assert caught.value.key == "level"


@pytest.mark.sockets
def test_logs_contain_no_prompt_and_no_api_key(tmp_path):
    async def run():
        async with open_demo(logs=tmp_path) as demo:
            await run_demo_trace(demo, 5, 40, lambda count: None)
            return demo.keys.values()

    keys = anyio.run(run)
    text = "".join(path.read_text() for path in tmp_path.iterdir())
    assert text.count('"RequestEnded"') == 40
    assert not [key for key in keys if key in text]
    assert "block 1" not in text
    assert "Bearer" not in text


def test_each_message_starts_with_its_part(tmp_path):
    log = make_file_log(tmp_path)
    log.emit(RequestReceived("req-1"))
    log.close()
    (line,) = read_lines(tmp_path)
    assert line["message"] == "callers: received req-1"
    assert line["part"] == "callers"


def test_events_above_the_level_are_not_logged(tmp_path):
    log = make_file_log(tmp_path, level="error")
    with open_action(log, "request"):
        emit(RequestReceived("req-1"))
    log.emit(EventsDropped(3))
    log.close()
    assert [line["message_type"] for line in read_lines(tmp_path)] == ["EventsDropped"]


def test_observers_receive_events_at_every_level():
    log = make_log("entry-1", LogSettings("off", "none"))
    seen = []
    log.observers.append(seen.append)
    with open_action(log, "request"):
        emit(RequestReceived("req-1"))
    assert seen == [RequestReceived("req-1")]


@pytest.mark.parametrize(
    "trace_header", ["", "x", "a" * 36 + "@/1;rm", "0" * 36 + "@" + "/1" * 99]
)
def test_a_malformed_trace_header_starts_a_new_task_tree(tmp_path, trace_header):
    log = make_file_log(tmp_path)
    with open_action(log, "request", trace_header):
        pass
    log.close()
    assert read_lines(tmp_path)[0]["task_level"] == [1]


def test_a_blocked_sink_does_not_block_logging_and_drops_are_counted(tmp_path):
    pipe = tmp_path / "pipe"
    os.mkfifo(pipe)
    reader = os.open(pipe, os.O_RDONLY | os.O_NONBLOCK)
    log = make_log("entry-1", LogSettings("info", str(pipe)))
    count = 3 * MAX_QUEUED_EVENTS
    done = threading.Event()

    def write():
        for number in range(count):
            log.emit(RequestReceived(f"req-{number}"))
        done.set()

    threading.Thread(target=write, daemon=True).start()
    assert done.wait(60)
    assert log.dropped > 0
    os.close(reader)
    log.close()


def test_the_writer_of_a_silent_log_sleeps(tmp_path, monkeypatch):
    drained = []
    drain = _Writer._drain

    def count(writer):
        drained.append(1)
        drain(writer)

    monkeypatch.setattr(_Writer, "_drain", count)
    log = make_file_log(tmp_path)
    time.sleep(10 * FLUSH_INTERVAL_S)
    assert not drained
    log.emit(RequestReceived("req-1"))
    time.sleep(10 * FLUSH_INTERVAL_S)
    assert len(drained) == 1
    assert len(read_lines(tmp_path)) == 1
    log.close()


class Codec(CodecBase):
    __content_subtype__ = "raw"

    def encode(self, message, message_type):
        return message

    def decode(self, data, message_type):
        return data


@pytest.mark.sockets
def test_a_call_to_a_peer_continues_the_task_tree(tmp_path):
    caller_log, peer_log = (
        make_file_log(tmp_path, "entry-1"),
        make_file_log(tmp_path, "entry-2"),
    )

    class Peer:
        async def answer(self, stream):
            emit(RequestReceived(f"req-{await stream.recv_message()}"))
            await stream.send_message(b"")

        def __mapping__(self):
            handler = Handler(self.answer, Cardinality.UNARY_UNARY, bytes, bytes)
            return {"/peers.Peers/Answer": handler}

    async def run():
        server = Server([Peer()], codec=Codec())
        trace_server(server, peer_log)
        await server.start("127.0.0.1", 0)
        port = server._server.sockets[0].getsockname()[1]
        channel = Channel("127.0.0.1", port, codec=Codec())
        trace_channel(channel)
        method = UnaryUnaryMethod(channel, "/peers.Peers/Answer", bytes, bytes)
        with open_action(caller_log, "request"):
            await method(b"1")
            await method(b"2")
        channel.close()
        server.close()
        await server.wait_closed()

    anyio.run(run)
    caller_log.close()
    peer_log.close()
    lines = read_lines(tmp_path)
    assert len({line["task_uuid"] for line in lines}) == 1
    received = [line for line in lines if line.get("message_type")]
    assert [line["task_level"] for line in received] == [[2, 2], [3, 2]]


def test_logging_a_request_costs_at_most_1_ms_of_its_thread(tmp_path):
    log = make_file_log(tmp_path)
    count = 500
    started = time.thread_time()
    for _ in range(count):
        with open_action(log, "request"):
            emit(RequestReceived("req-1"))
            make_trace_header()
    assert (time.thread_time() - started) / count < 0.001
    log.close()


def test_refusals_failures_and_cancellations_have_their_own_outcomes():
    log = make_log("entry-1", LogSettings("off", "none"))
    seen = []
    log.observers.append(seen.append)
    request = SimpleNamespace(
        id="req-1", workspace=SimpleNamespace(id="w"), service=SimpleNamespace(id="s")
    )
    for error in (RequestError(409, "already_run", "x"), KeyError(), GeneratorExit()):
        with (
            pytest.raises(type(error)),
            open_action(log, "request"),
            record_request(request, TimedSend(None)),
        ):
            raise error
    ends = [event.outcome for event in seen if isinstance(event, RequestEnded)]
    assert ends == ["RefusedByRouter", "RouterFailed", "Cut"]


@pytest.mark.sockets
def test_a_claim_and_a_plain_call_are_logged_without_private_data(tmp_path):
    async def run():
        async with open_demo(logs=tmp_path) as demo:
            url = demo.list_urls()[0]
            async with httpcore.AsyncConnectionPool() as pool:
                answer = await pool.request(
                    "POST",
                    f"{url}/services/roster-app/handovers/secret-name",
                    headers={
                        "Authorization": "Bearer demo-handovers",
                        "Idempotency-Key": "secret-key",
                        "X-Trace": "forged",
                    },
                    content=b"secret-body",
                )
                return answer.status

    status = anyio.run(run)
    lines = read_lines(tmp_path)
    events = {line["message_type"]: line for line in lines if "message_type" in line}
    assert events["ClaimSettled"]["result"] == "Claimed"
    assert events["AttemptEnded"]["outcome"] == events["RequestEnded"]["outcome"]
    assert status == 200
    assert events["RequestEnded"]["outcome"] == "Completed"
    text = "".join(path.read_text() for path in tmp_path.iterdir())
    assert "secret" not in text
