"""Pytest hook that runs each coroutine test in its own event loop."""

import functools
import inspect

import curio
import pytest


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem):
    """Run a coroutine test with curio; leave other tests to pytest."""
    test = pyfuncitem.obj
    if not inspect.iscoroutinefunction(test):
        return None
    names = inspect.signature(test).parameters
    fixtures = {name: pyfuncitem.funcargs[name] for name in names}
    curio.run(functools.partial(test, **fixtures))
    return True
