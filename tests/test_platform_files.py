"""Settings and deploy files of the platform, and the log of an entry router."""

from pathlib import Path
from typing import get_args

import pytest
from cleo.testers.application_tester import ApplicationTester

from primrosepier.cli import make_application
from primrosepier.errors import SettingsError
from primrosepier.explain import explain_request, render_explanation
from primrosepier.forwarding import records
from primrosepier.forwarding.records import (
    CallEnded,
    CallLost,
    CallPlaced,
    CallRejected,
    CallWithdrawn,
    HelperGivenUp,
    LinksChanged,
    PermitRefused,
)
from primrosepier.log_events import RestRequested
from primrosepier.log_lines import LogReader
from primrosepier.logs import make_log
from primrosepier.platform.checks import check_platform_file
from primrosepier.platform.settings import load_entry_settings, parse_entry_settings
from primrosepier.settings import LogSettings
from primrosepier.timeline import merge_lines

ROOT = Path(__file__).parent.parent
SETTINGS = """
nodeName = "front-1"
ip = "127.0.0.1"
zone = "rennes"
internalPorts = [7340, 7355]
unheardOf = true
[listen]
frontend = "127.0.0.1:8782"
readiness = "127.0.0.1:8789"
[bounds]
strictRevoke = true
revokeMs = 5000
versionMs = 12000
[platform]
address = "127.0.0.1:8784"
form = "kv"
"""


def test_settings_are_read_and_unknown_fields_ignored():
    settings = parse_entry_settings(SETTINGS.encode(), "node.toml")
    assert settings.host == "front-1"
    assert settings.revoke_s == 5.0
    assert settings.weights_s == 12.0
    assert settings.peers_address == "127.0.0.1:7340"
    assert not settings.is_first_start


def test_the_first_start_of_the_whole_system_is_read():
    settings = parse_entry_settings(("firstStart = true" + SETTINGS).encode(), "a.toml")
    assert settings.is_first_start


def test_revocation_time_is_limited_only_if_strict():
    text = SETTINGS.replace("strictRevoke = true", "strictRevoke = false")
    assert parse_entry_settings(text.encode(), "node.toml").revoke_s is None


@pytest.mark.parametrize(
    ("before", "after", "named"),
    [
        ('zone = "rennes"', "", "zone"),
        ("[7340, 7355]", '"7340"', "internalPorts"),
        ('form = "kv"', 'form = "log"', "form"),
        ("revokeMs = 5000", 'revokeMs = "soon"', "revokeMs"),
        ("[listen]", "[listen", "node.toml"),
    ],
)
def test_the_error_names_an_invalid_setting(before, after, named):
    text = SETTINGS.replace(before, after)
    with pytest.raises(SettingsError, match=named):
        parse_entry_settings(text.encode(), "node.toml")


def test_the_error_names_a_missing_file_or_variable(tmp_path):
    with pytest.raises(SettingsError, match="PRIMROSEPIER_CONFIG"):
        load_entry_settings({})
    missing = str(tmp_path / "none.toml")
    with pytest.raises(SettingsError, match="none.toml"):
        load_entry_settings({"PRIMROSEPIER_CONFIG": missing})


def test_the_deploy_file_is_valid():
    assert "1 roles" in check_platform_file(ROOT / "deploy/system.toml")


@pytest.mark.parametrize(
    ("before", "after", "named"),
    [
        ("entry-router", "unheard-of", "run"),
        ("share = 1.0", "share = 2.0", "share"),
        ("serves", "servs", "servs"),
    ],
)
def test_the_error_names_an_invalid_deploy_entry(tmp_path, before, after, named):
    text = (ROOT / "deploy/system.toml").read_text()
    path = tmp_path / "system.toml"
    path.write_text(text.replace(before, after))
    with pytest.raises(SettingsError, match=named):
        check_platform_file(path)


def test_check_accepts_files_of_the_platform(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS)
    tester = ApplicationTester(make_application())
    assert tester.execute(f"check {path} {ROOT / 'deploy/system.toml'}") == 0
    assert "front-1" in tester.io.fetch_output()
    path.write_text(SETTINGS.replace("ip = ", "pi = "))
    assert tester.execute(f"check {path}") == 1


def make_placed(request):
    return CallPlaced(
        request=request,
        attempt=1,
        service="writers",
        endpoint="w1",
        kind="home of the shared prefix",
        candidates=9,
        outstanding=2,
        pending_tokens=3000,
        report_age_s=0.5,
        remaining_s=1.9,
        uncached_tokens=3700,
        peer_tokens=41000,
        decoding=17,
        software="v1.1",
        resumed_call="a0",
        weights_lag_s=4.5,
        forecast_wait_s=0.75,
        backoff_s=0.25,
        resting=3,
        slowness=1.5,
    )


def make_ended(request):
    return CallEnded(
        request=request,
        route="notes",
        workspace="litter-notes",
        outcome="Interrupted",
        status=200,
        step="relay",
        peer="w1",
        reason="the call's deadline passed",
        attempts=1,
        prompt_tokens=17000,
        first_byte_s=0.6,
        duration_s=1.9,
        declaration=7,
        heard_age_s=0.2,
        output_limit=180,
        last_event="31",
        framed=False,
        within_event=True,
    )


def test_explain_reads_log_lines_with_a_collectors_prefix(tmp_path):
    path = tmp_path / "front.log"
    log = make_log("front-1", LogSettings("info", str(path)))
    log.emit(make_placed("a1"))
    log.emit(CallLost("a1", 1, "w1", 1.9, (0xAB, 0xCD)))
    log.emit(PermitRefused("a1", "w2", 3.5, 0.25))
    log.emit(CallWithdrawn("a1", 2, "w3", 1.25, 5.7))
    log.emit(RestRequested("a1", "w3", "1.5", 1.5))
    log.emit(make_ended("a1"))
    log.emit(CallRejected("a2", 503, "stale_keys", 7, 4.2))
    log.close()
    prefixed_lines = [
        b"  12.5 front-1 " + line for line in path.read_bytes().splitlines(True)
    ]
    reader = LogReader()
    reader.read(prefixed_lines)
    timeline = merge_lines(reader.lines)
    explanation = "\n".join(render_explanation(explain_request(timeline, "a1")))
    assert "Chose w1 of 9 candidates" in explanation
    assert "the call's deadline passed" in explanation
    assert "Declaration 7" in explanation
    assert "shared parts and request: 00000000000000ab, 00000000000000cd" in explanation
    assert "Not sent to w2: it limits all routers to 3.5 requests/s" in explanation
    assert "Withdrawn from w3, where it had not begun after 1.250 s" in explanation
    assert (
        "w3 turned it away and wants no calls of this router for 1.500" in explanation
    )
    assert "3700 tokens of the prompt are to be computed" in explanation
    assert "41000 prompt tokens pending" in explanation
    assert "in backoff for another 0.250 s" in explanation
    assert "expected to take 1.50 times as long" in explanation
    assert "3 other replicas had asked for rest" in explanation
    assert "software is v1.1" in explanation
    assert "began with a0" in explanation
    assert "outdated for 4.500 s" in explanation
    assert "expected to begin in 0.750 s" in explanation
    assert "17 outputs are generated" in explanation
    assert "up to 180 tokens; the last event sent: 31" in explanation
    assert "marked by its connection's close, within an event" in explanation
    explanation = "\n".join(render_explanation(explain_request(timeline, "a2")))
    assert "status 503, stale_keys" in explanation
    assert "4.2 s before" in explanation


def test_explain_tells_why_a_cut_off_router_gave_its_helpers_up(tmp_path):
    path = tmp_path / "front.log"
    log = make_log("front-1", LogSettings("info", str(path)))
    log.emit(LinksChanged(True, 12, ("front-2", "front-3")))
    log.emit(HelperGivenUp("front-2", "it is cut off itself", 0.4))
    log.emit(make_placed("a1"))
    log.emit(make_ended("a1"))
    log.emit(HelperGivenUp("front-3", "it is no longer registered", 0.1))
    log.close()
    other = tmp_path / "other.log"
    log = make_log("front-9", LogSettings("info", str(other)))
    log.emit(HelperGivenUp("front-8", "it is cut off itself", 0.2))
    log.close()
    reader = LogReader()
    reader.read_files([path, other])
    timeline = merge_lines(reader.lines)
    lines = render_explanation(explain_request(timeline, "a1"))
    text = "\n".join(lines)
    assert "cut off from 12 replicas" in text
    assert "front-2 no longer helps: it is cut off itself (0.4 s ago)" in text
    assert "front-3 no longer helps" not in text
    assert "front-8" not in text
    assert any("0.0 ms  Chose w1" in line for line in lines)


def test_every_event_of_the_forwarding_can_be_read_from_the_log():
    events = {
        value
        for value in vars(records).values()
        if isinstance(value, type) and value.__module__ == records.__name__
    }
    assert events == set(get_args(records.FORWARDING_EVENT))
