"""Public names of a package that are imported when they are first used.

A daemon that needs one module of a package does not pay for the others
at its start.
"""

from collections.abc import Callable
from collections.abc import Mapping
from importlib import import_module
from typing import Any


def make_getattr(
    package: str, modules: Mapping[str, tuple[str, ...]]
) -> Callable[[str], Any]:
    """Make the ``__getattr__`` of a package.

    :param package: name of the package.
    :param modules: public names by module of the package.
    :returns: a function that imports a public name.

    >>> find = make_getattr("carawayvale.zones", {"limits": ("allot_quotas",)})
    >>> find("allot_quotas").__name__
    'allot_quotas'
    """
    places = {
        name: module for module, names in modules.items() for name in names
    }

    def find(name: str) -> Any:
        if name not in places:
            raise AttributeError(f"{package} has no attribute {name!r}")
        module = import_module(f"{package}.{places[name]}")
        return getattr(module, name)

    return find


def list_names(modules: Mapping[str, tuple[str, ...]]) -> tuple[str, ...]:
    """List all public names of a package.

    :param modules: public names by module of the package.
    :returns: the names in their order.
    """
    names = [name for listed in modules.values() for name in listed]
    return tuple(sorted(names, key=str.lower))
