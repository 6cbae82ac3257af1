"""Garbage collection in the processes that run the tests."""

import gc


def test_collections_exclude_the_objects_of_earlier_modules():
    """Guards against full collections that stop a test past its time bounds."""
    assert gc.get_freeze_count() > len(gc.get_objects())
