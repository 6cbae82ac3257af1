from dataclasses import replace

import anyio
import msgspec
import pytest

from primrosepier.demo import open_demo
from primrosepier.endpoint_client import EndpointCall, make_endpoint_client
from primrosepier.etcd import make_etcd_store
from primrosepier.publishing import apply_configuration
from primrosepier.rollout import RolloutTimes
from primrosepier.standin_engine import make_output_tokens
from primrosepier.standin_orders import OrderHandler

pytestmark = pytest.mark.sockets

WORKERS = 12
TIMES = RolloutTimes(propagation_s=1.0, drain_timeout_s=20.0)


async def send_request(client, demo, number):
    """Send one request and return its prompt, token limit and answer text."""
    workspace, key = sorted(demo.keys.items())[0]
    prompt = f"{workspace} question {number}"
    body = {"model": next(iter(demo.configuration.models)), "prompt": prompt}
    tokens = 200 + 100 * (number % WORKERS)
    body["max_tokens"] = tokens
    call = EndpointCall(
        address=demo.routers[number % 3].callers_address,
        method="POST",
        path="/v1/completions",
        headers=(("authorization", f"Bearer {key}"),),
        body=msgspec.json.encode(body),
        connect_s=5.0,
        request_s=30.0,
    )
    async with client.open(call) as response:
        data = b"".join([part async for part in response.aiter_stream()])
    answer = msgspec.json.decode(data)["choices"][0]["text"]
    return prompt, tokens, answer


@pytest.fixture
def running_at_load_start(monkeypatch):
    """Record how many requests ran on each engine when it began to load."""
    running_counts = []
    engines = []
    begin_load = OrderHandler.begin_load

    def begin(orders, order):
        running = [e.batch_slots.running for e in engines if e.orders is orders]
        running_counts.extend(running)
        begin_load(orders, order)

    monkeypatch.setattr(OrderHandler, "begin_load", begin)
    return running_counts, engines


def test_no_answer_mixes_versions_while_weights_change(running_at_load_start):
    async def run():
        answers, max_loading = [], 0
        async with open_demo() as demo:
            for router in demo.routers:
                router.rollouts.times = TIMES
                router.rollouts.idle_interval_s = 0.25
            client, store = make_endpoint_client(), make_etcd_store(demo.store_address)
            engines = running_at_load_start[1]
            engines.extend(demo.engines.values())
            for engine in engines:
                engine.orders.load_s = 0.3

            async def call(worker):
                number = worker
                while not done:
                    answers.append(await send_request(client, demo, number))
                    number += WORKERS

            done = False
            async with anyio.create_task_group() as group:
                for worker in range(WORKERS):
                    group.start_soon(call, worker)
                models = {
                    name: replace(model, version="2")
                    for name, model in demo.configuration.models.items()
                }
                await apply_configuration(
                    store, replace(demo.configuration, models=models)
                )
                with anyio.fail_after(60):
                    while any(e.orders.state.version != "2" for e in engines):
                        loading = [e for e in engines if e.orders.state.loading]
                        max_loading = max(max_loading, len(loading))
                        await anyio.sleep(0.005)
                done = True
            await store.close()
            await client.close()
        return answers, max_loading

    answers, max_loading = anyio.run(run)
    assert 1 <= max_loading <= 3
    assert running_at_load_start[0] == [0] * 9
    versions = set()
    for prompt, tokens, answer in answers:
        matching_versions = [
            v for v in "12" if answer == "".join(make_output_tokens(prompt, tokens, v))
        ]
        assert matching_versions, f"{prompt}: {answer}"
        versions.update(matching_versions)
    assert versions == {"1", "2"}
