"""Command that runs a gateway instance on the platform."""

import os
import sys

from carawayvale.capacity.link_meter import OWN_LINK
from carawayvale.commands.daemon_runner import run_daemon
from carawayvale.contracts.findings import InvalidInput
from carawayvale.gateway.daemon import GatewayDaemon
from carawayvale.platform.headers import HEADER_NAMES
from carawayvale.platform.settings import find_settings_path
from carawayvale.platform.settings import KEY_VARIABLE
from carawayvale.platform.settings import load_gateway_settings
from carawayvale.platform.source import PlatformSource
from carawayvale.telemetry.logs import capture_library_logs
from carawayvale.telemetry.logs import log_event
from carawayvale.telemetry.logs import start_logs
from carawayvale.telemetry.sinks import BoundedSink

EXIT_INVALID = 2


def run_gateway() -> int:
    """Run a gateway instance until a planned stop.

    :returns: exit status of the process.
    """
    start_logs("INFO", BoundedSink(sys.stdout.fileno()))
    capture_library_logs()
    try:
        settings = load_gateway_settings(find_settings_path())
    except InvalidInput as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID
    OWN_LINK.set_bandwidth(settings.link_mbps)
    key = os.environ.get(KEY_VARIABLE, "").encode()
    source = PlatformSource(settings.regions)
    daemon = GatewayDaemon(settings, HEADER_NAMES, source, key)

    async def reload() -> None:
        try:
            await daemon.reload(load_gateway_settings(find_settings_path()))
        except InvalidInput as error:
            for finding in error.findings:
                log_event("settings_refused", "ERROR", finding=finding)

    run_daemon(daemon.run, daemon.stop, reload)
    return 0
