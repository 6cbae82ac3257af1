"""The entry router as a process: its signals and its clock."""

import json
import os
import signal
import socket
import subprocess
import sys
import time

import pytest
from node_settings import make_node_settings

from primrosepier.forwarding.entry import read_boot_clock
from primrosepier.platform.router import make_entry_platform
from primrosepier.platform.settings import parse_entry_settings


def make_settings():
    return make_node_settings(tables="[bounds]\ngraceS = 2.0")[0]


def wait_for(path, text, limit_s=10.0):
    ends_at_s = time.monotonic() + limit_s
    while text not in path.read_text():
        assert time.monotonic() < ends_at_s, path.read_text()
        time.sleep(0.02)


@pytest.mark.sockets
def test_sighup_rereads_the_settings_without_a_restart(tmp_path):
    settings, output = tmp_path / "node.toml", tmp_path / "output"
    settings.write_text(make_settings())
    command = [sys.executable, "-m", "primrosepier", "entry-router"]
    environment = {**os.environ, "PRIMROSEPIER_CONFIG": str(settings)}
    with output.open("wb") as stream:
        process = subprocess.Popen(command, env=environment, stdout=stream)
    try:
        wait_for(output, "RouterStarted")
        settings.write_text(settings.read_text().replace("2.0", "3.0"))
        process.send_signal(signal.SIGHUP)
        wait_for(output, "SettingsRead")
        assert '"changed":["grace_s"]' in output.read_text()
        assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        assert process.wait(10.0) == 0
        assert "RouterStopping" in output.read_text()
        assert "RouterEnded" in output.read_text()
    finally:
        process.kill()
        process.wait()


@pytest.mark.sockets
def test_a_router_that_ends_by_an_error_logs_the_chain_of_errors(tmp_path):
    settings = tmp_path / "node.toml"
    settings.write_text(make_settings())
    port = int(settings.read_text().partition("[")[2].partition(",")[0])
    command = [sys.executable, "-m", "primrosepier", "entry-router"]
    environment = {**os.environ, "PRIMROSEPIER_CONFIG": str(settings)}
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
        taken.bind(("127.0.0.1", port))
        result = subprocess.run(command, env=environment, capture_output=True)
    assert result.returncode != 0
    lines = [json.loads(line) for line in result.stdout.splitlines()]
    (line,) = [x for x in lines if x["message_type"] == "RouterFailed"]
    assert "in use" in line["errors"][-1]
    assert lines[-1] == line


def test_the_clock_includes_suspended_time():
    settings = parse_entry_settings(make_settings().encode(), "node.toml")
    platform = make_entry_platform(settings)
    assert platform.clock is read_boot_clock
    assert platform.store.clock is read_boot_clock
    before_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert before_s <= read_boot_clock() <= time.clock_gettime(time.CLOCK_BOOTTIME)


EARLY = """
import runpy, signal, sys, types
import primrosepier
cli = types.ModuleType("primrosepier.cli")
cli.main = lambda: int(signal.getsignal(signal.SIGHUP) is not signal.SIG_IGN)
sys.modules["primrosepier.cli"] = cli
sys.argv = ["primrosepier", "entry-router"]
runpy.run_module("primrosepier", run_name="__main__")
"""


def test_sighup_is_ignored_before_the_modules_are_imported():
    """Guards against a change of the settings that ends a router as it starts."""
    assert subprocess.run([sys.executable, "-c", EARLY]).returncode == 0
