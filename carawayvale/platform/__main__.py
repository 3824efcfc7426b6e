"""Start a gateway instance on the platform."""

import signal
import sys

from carawayvale.deferred_imports import defer_event_loop
from carawayvale.early_signals import hold_signal


def main() -> int:
    """Run the gateway, without the imports that it does not use.

    :returns: exit status of the process.
    """
    hold_signal(signal.SIGHUP)
    defer_event_loop()
    from carawayvale.platform.gateway_command import run_gateway

    return run_gateway()


if __name__ == "__main__":
    sys.exit(main())
