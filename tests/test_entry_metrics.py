"""Metrics of an entry router, read over real sockets."""

import re
import socket
from dataclasses import replace

import msgspec
import pytest
from clients import call
from entry_fleet import run_entry
from ports import find_free_port

from primrosepier.errors import SettingsError
from primrosepier.forwarding.metric_specs import ENTRY_SPECS
from primrosepier.platform.checks import check_platform_file

pytestmark = pytest.mark.sockets


async def read_metrics(fleet, router):
    address = router.settings.metrics_address
    reply = await call(fleet.client, address, "GET", "/metrics")
    assert reply.status == 200
    pattern = r"^(\w+)(\{[^}]*\})? ([-+.\w]+)$"
    samples = re.findall(pattern, reply.body.decode(), re.MULTILINE)
    return {name + labels: float(value) for name, labels, value in samples}


def test_metrics_count_calls_and_show_the_store_view():
    async def check(fleet):
        fleet.settings = replace(
            fleet.settings, metrics_address=f"127.0.0.1:{find_free_port()}"
        )
        async with fleet.open_router("front-2") as router:
            await fleet.wait_until(router.app.is_ready)
            for number in range(3):
                await fleet.send("/lookup/2f", router=router, attempt=f"a{number}")
            await fleet.send("/lookup/2f", router=router, key="unknown")
            samples = await read_metrics(fleet, router)
        completed = '{outcome="Completed",status="200"}'
        assert samples["primrosepier_calls_total" + completed] == 3
        assert samples['primrosepier_rejected_calls_total{code="unknown_key"}'] == 1
        assert samples["primrosepier_first_byte_seconds_count"] == 3
        output_count = 'primrosepier_output_seconds_count{outcome="Completed"}'
        assert samples[output_count] == 3
        assert samples["primrosepier_declaration_version"] == 1
        assert 0 <= samples["primrosepier_declaration_age_seconds"] < 5
        assert samples['primrosepier_replicas{service="writers"}'] == 2
        assert samples["primrosepier_calls_in_progress"] == 0
        names = {name.split("{")[0] for name in samples}
        assert "primrosepier_store_calls_total" in names
        declared = {spec.name for spec in ENTRY_SPECS}
        bare = {re.sub("_(count|sum|bucket)$", "", name) for name in names}
        assert bare <= declared

    run_entry(check)


def test_datagrams_that_cannot_be_read_are_counted_where_operators_see_it():
    async def check(fleet):
        fleet.settings = replace(
            fleet.settings, metrics_address=f"127.0.0.1:{find_free_port()}"
        )
        async with fleet.open_router("front-2") as router:
            name = "primrosepier_rejected_datagrams_total"
            assert (await read_metrics(fleet, router))[name] == 0
            token = router.peers.directory.token
            later = {"token": token, "message": {"type": "later"}}
            for data in (msgspec.msgpack.encode(later), b"\x91\x07"):
                await router.peers.handle(data)
            assert (await read_metrics(fleet, router))[name] == 2

    run_entry(check)


def test_a_router_serves_calls_when_its_metrics_address_is_in_use():
    async def check(fleet):
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            fleet.settings = replace(fleet.settings, metrics_address=address)
            async with fleet.open_router("front-2") as router:
                await fleet.wait_until(router.app.is_ready)
                reply = await fleet.send("/lookup/2f", router=router)
                assert reply.status == 200

    run_entry(check)


def test_the_deploy_file_names_the_metrics_address(tmp_path):
    text = """build = "true"
[roles.router]
run = "python3 -m primrosepier entry-router"
on = "frontend"
metrics = "9999/metrics"
"""
    path = tmp_path / "system.toml"
    path.write_text(text)
    with pytest.raises(SettingsError, match="metrics"):
        check_platform_file(path)
    path.write_text(text.replace("9999", "9464"))
    assert check_platform_file(path) == "valid: 1 roles"
