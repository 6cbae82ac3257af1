import pytest
from anyio.from_thread import start_blocking_portal


@pytest.fixture(scope="module")
def portal():
    """Run asynchronous steps of a module's scenarios in one event loop."""
    with start_blocking_portal() as portal:
        yield portal
