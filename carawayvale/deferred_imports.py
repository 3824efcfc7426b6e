"""Defer imports of modules that libraries name and a daemon may not use.

The event loop library and the log library import a second event loop,
which they need only for programs that run one. A daemon that runs none
starts faster and takes less memory without it.
"""

from importlib import import_module
import sys
from types import ModuleType
from typing import Any


class DeferredModule(ModuleType):
    """Placeholder that is replaced by its module on first use.

    :param name: name of the module.
    :param attributes: attributes that are known without the module.
    """

    def __init__(self, name: str, attributes: dict[str, Any]):
        super().__init__(name)
        self.__dict__.update(attributes)

    def __getattr__(self, name: str) -> Any:
        # The import system reads such names of every module.
        if name.startswith("__"):
            raise AttributeError(name)
        if sys.modules.get(self.__name__) is self:
            del sys.modules[self.__name__]
        return getattr(import_module(self.__name__), name)


def get_running_loop() -> Any:
    """Tell, as ``asyncio`` does, that no event loop of it is running.

    :raises RuntimeError: always.
    """
    raise RuntimeError("no running event loop")


def defer_event_loop() -> None:
    """Defer the import of ``asyncio`` until something else of it is used."""
    if "asyncio" not in sys.modules:
        attributes = {"get_running_loop": get_running_loop}
        sys.modules["asyncio"] = DeferredModule("asyncio", attributes)
