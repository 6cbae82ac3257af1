from pathlib import Path

import pytest

from primrosepier.configuration import (
    decode_configuration,
    encode_configuration,
    load_configuration,
    parse_configuration,
)
from primrosepier.errors import ConfigurationError

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.mark.parametrize("name", ["keranvel", "registry"])
def test_examples_are_valid(name):
    configuration = load_configuration([EXAMPLES / name / f"{name}.ini"])
    assert len(configuration.workspaces) == 8
    assert decode_configuration(encode_configuration(configuration)) == configuration


@pytest.mark.parametrize(
    ("text", "key", "problem"),
    [
        ("[model m]\nversion = 1\ncolour = red\n", "colour", "unknown"),
        ("[model m]\n", "version", "missing"),
        ("[workspace w]\nkey_sha256 = short\n", "key_sha256", "SHA-256"),
        ("[endpoint e]\nservice = s\naddress = here\n", "address", "IP:PORT"),
        ("[garden g]\n", "-", "sections are"),
        ("[service s]\nkind = engine\nmodels = m\n", "models", "not a declared"),
        ("no section", "-", "not valid INI"),
    ],
)
def test_errors_name_the_file_and_key(text, key, problem):
    with pytest.raises(ConfigurationError) as caught:
        parse_configuration({"a.ini": text})
    assert caught.value.file == "a.ini"
    assert caught.value.key == key
    assert problem in caught.value.problem
