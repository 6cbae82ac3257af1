from collections import Counter

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from primrosepier.fault_checks import PROMISES, check_record
from primrosepier.fault_schedule import PlannedFault, run_schedule
from primrosepier.virtualtime import run_in_virtual_time

scenarios("every_fault.feature")


@pytest.fixture
def results():
    """Return the checked cases by promise, the violations and the injected faults."""
    return Counter(), [], []


@given("three routers over four engines and one key-value service")
def cluster():
    """Do nothing, as each schedule creates its own cluster."""


@when(parsers.parse("{fault} occurs at {at:g} s for {duration:g} s in five schedules"))
def add_fault(results, fault, at, duration):
    results[2].append(PlannedFault(fault, at, duration))


@when("an endpoint leaves, a router stops and operators race meanwhile")
def run_schedules(results):
    checked, violations, faults = results
    fault = faults[0].kind
    faults += [
        PlannedFault("endpoint_leaving", 4.0, 1.0),
        PlannedFault("router_stop", 4.5, 1.0),
        PlannedFault("operators_race", 5.0, 1.0),
    ]
    for seed in range(5):
        record = run_in_virtual_time(run_schedule, seed, faults)
        assert fault in [injected.kind for injected in record.injected_faults]
        for name, verdict in check_record(record).items():
            checked[name] += verdict.checked
            violations += verdict.violations


@then("no promise is broken")
def check_no_violations(results):
    assert results[1] == []


@then(parsers.parse("the promises checked are {names}"))
def check_promises(results, names):
    listed = {name.strip() for name in names.split(",")}
    assert listed == {name for name in PROMISES if results[0][name]}
