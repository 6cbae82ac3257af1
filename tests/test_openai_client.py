import subprocess
import sys

import msgspec
import openai
import pytest

from primrosepier.standin_engine import make_output_tokens

pytestmark = pytest.mark.sockets
MODEL = "armor-note-8b"


@pytest.fixture(scope="module")
def demo():
    command = [sys.executable, "-m", "primrosepier", "demo", "--serve"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    yield msgspec.json.decode(process.stdout.readline())
    process.terminate()
    process.wait(10)


@pytest.fixture
def client(demo):
    key = demo["workspaces"]["litter-notes"]
    url = demo["base_urls"][0] + "/v1"
    with openai.OpenAI(base_url=url, api_key=key, max_retries=0) as openai_client:
        yield openai_client


def test_the_first_line_has_the_urls_keys_and_models(demo):
    assert len(demo["base_urls"]) >= 3
    assert demo["store_url"].startswith("http://")
    assert demo["models"] == [MODEL] and len(demo["workspaces"]) == 8


def test_chat_completion(client):
    messages = [{"role": "user", "content": "Draft a note."}]
    answer = client.chat.completions.create(
        model=MODEL, messages=messages, max_tokens=5
    )
    assert answer.choices[0].message.content.count("-") == 5
    assert answer.usage.completion_tokens == 5


def test_a_chat_stream_equals_the_unstreamed_answer(client):
    request = {
        "model": MODEL,
        "messages": [{"role": "user", "content": "Draft a note."}],
        "max_tokens": 30,
    }
    whole = client.chat.completions.create(**request).choices[0].message.content
    chunks = list(client.chat.completions.create(stream=True, **request))
    assert "".join(c.choices[0].delta.content or "" for c in chunks) == whole
    assert chunks[-1].choices[0].finish_reason == "stop"


def test_a_stream_has_the_usage_on_request(client):
    stream = client.completions.create(
        model=MODEL,
        prompt="note",
        max_tokens=3,
        stream=True,
        stream_options={"include_usage": True},
    )
    chunks = list(stream)
    text = "".join(chunk.choices[0].text for chunk in chunks if chunk.choices)
    assert text == "".join(make_output_tokens("note", 3))
    assert chunks[-1].usage.completion_tokens == 3


def test_models_are_listed(client):
    assert [model.id for model in client.models.list()] == [MODEL]


def test_errors_are_mapped_to_the_clients_exceptions(client, demo):
    with pytest.raises(openai.NotFoundError) as missing:
        client.completions.create(model="other", prompt="x")
    assert missing.value.code == "model_not_found"
    assert missing.value.request_id.startswith("req-")
    with pytest.raises(openai.BadRequestError) as wrong:
        client.completions.create(model=MODEL, prompt="x", max_tokens=-1)
    assert wrong.value.param == "max_tokens"
    url = demo["base_urls"][1] + "/v1"
    unauthorized_client = openai.OpenAI(base_url=url, api_key="other", max_retries=0)
    with unauthorized_client, pytest.raises(openai.AuthenticationError):
        unauthorized_client.models.list()
