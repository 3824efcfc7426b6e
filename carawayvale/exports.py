"""Lazy imports of the public names of a package.

A process that needs one module of a package does not load the others,
which shortens its start.
"""

from collections.abc import Callable
from collections.abc import Mapping
from importlib import import_module
from typing import Any


def make_getattr(
    package: str, modules: Mapping[str, tuple[str, ...]]
) -> Callable[[str], Any]:
    """Make a ``__getattr__`` that imports public names on first use.

    :param package: name of the package.
    :param modules: public names by module of the package.
    :returns: a function that imports and returns a public name.

    >>> load = make_getattr("carawayvale.zones", {"limits": ("allot_quotas",)})
    >>> load("allot_quotas").__name__
    'allot_quotas'
    """
    module_by_name = {
        name: module for module, names in modules.items() for name in names
    }

    def load(name: str) -> Any:
        if name not in module_by_name:
            raise AttributeError(f"{package} has no attribute {name!r}")
        module = import_module(f"{package}.{module_by_name[name]}")
        return getattr(module, name)

    return load


def list_names(modules: Mapping[str, tuple[str, ...]]) -> tuple[str, ...]:
    """List all public names of a package.

    :param modules: public names by module of the package.
    :returns: the names, sorted regardless of case.
    """
    names = [name for group in modules.values() for name in group]
    return tuple(sorted(names, key=str.lower))
