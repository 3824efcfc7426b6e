"""Daemons: the entry instance and the store and backend stand-ins."""

from pathlib import Path

import curio

from carawayvale.commands.daemon_runner import run_daemon
from carawayvale.contracts.document import load_document
from carawayvale.contracts.settings import BackendSettings
from carawayvale.contracts.settings import load_key
from carawayvale.contracts.settings import load_settings
from carawayvale.documents.envelope import DOCUMENT_KEY
from carawayvale.documents.envelope import Envelope
from carawayvale.links.listener import Listener
from carawayvale.links.listener import open_listener
from carawayvale.machines.entry import EntryInstance
from carawayvale.standins.backend import BackendServer
from carawayvale.standins.store import StoreServer
from carawayvale.telemetry.logs import log_event
from carawayvale.telemetry.logs import start_logs


def run_entry(settings_path: str, log_level: str) -> None:
    """Run an entry instance until it has drained.

    :param settings_path: path of the settings file.
    :param log_level: lowest level of the log lines that are written.
    :raises InvalidInput: if the settings or the key are invalid.
    """
    settings = load_settings(settings_path, "entry")
    key = load_key(settings)
    start_logs(log_level)
    entry = EntryInstance(settings, key)
    run_daemon(entry.run, entry.drain)


def make_store_server(document_path: str) -> StoreServer:
    """Create the store stand-in, optionally with a document in it.

    :param document_path: file with the document, which is stored as
        revision 1; if empty, the store starts without a document.
    :returns: the stand-in.
    :raises InvalidInput: if the document is invalid.
    """
    server = StoreServer()
    if document_path:
        text = Path(document_path).read_text()
        load_document(text, document_path)
        server.state.write(DOCUMENT_KEY, Envelope(1, text).encode(), 0)
    return server


async def _stop_immediately() -> None:
    raise SystemExit(0)


async def serve_store(server: StoreServer, listener: Listener) -> None:
    """Serve the store stand-in until the task is cancelled.

    :param server: the stand-in.
    :param listener: listener that passes connections to the stand-in.
    """
    log_event("store_started", address=listener.address)
    await listener.run()


def run_store(settings_path: str, log_level: str) -> None:
    """Run the store stand-in until a stop signal.

    :param settings_path: path of the settings file.
    :param log_level: lowest level of the log lines that are written.
    :raises InvalidInput: if the settings or the document are invalid.
    """
    settings = load_settings(settings_path, "store")
    start_logs(log_level)
    server = make_store_server(settings.document)
    listener = Listener(open_listener(settings.address), server.handle)

    async def run() -> None:
        await serve_store(server, listener)

    run_daemon(run, _stop_immediately)


def make_backend_settings(
    document_path: str, service_ms: float
) -> list[BackendSettings]:
    """Make settings for a stand-in of each endpoint of a document.

    :param document_path: file with the document.
    :param service_ms: time to serve a request in milliseconds.
    :returns: settings of the backend server stand-ins.
    :raises InvalidInput: if the document is invalid.
    """
    document = load_document(Path(document_path).read_text(), document_path)
    return [
        BackendSettings(
            name=endpoint.name,
            address=endpoint.address,
            slots=endpoint.slots,
            service_ms=service_ms,
        )
        for endpoint in document.by_kind["endpoint"].values()
    ]


def run_backends(backends: list[BackendSettings], log_level: str) -> None:
    """Run backend server stand-ins in one process until a stop signal.

    :param backends: settings of each stand-in.
    :param log_level: lowest level of the log lines that are written.
    """
    start_logs(log_level)
    listeners = [
        Listener(open_listener(s.address), BackendServer(s).handle)
        for s in backends
    ]

    async def run() -> None:
        async with curio.TaskGroup() as group:
            for settings, listener in zip(backends, listeners):
                await group.spawn(listener.run)
                log_event(
                    "backend_started",
                    backend=settings.name,
                    address=listener.address,
                )

    run_daemon(run, _stop_immediately)
