import pytest

from primrosepier.cli import COMMANDS, make_application


@pytest.mark.parametrize("name", COMMANDS)
def test_every_command_is_found_by_its_name(name):
    assert make_application().find(name).name == name
