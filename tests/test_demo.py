import anyio
import pytest

from primrosepier.demo import open_demo, run_demo_trace


@pytest.mark.sockets
def test_every_answer_is_complete_and_correct():
    async def replay():
        async with open_demo() as demo:
            return await run_demo_trace(demo, 3, 60, lambda count: None)

    report = anyio.run(replay)
    assert report.requests == 60
    assert report.correct == 60
