"""Commands of the ``carawayvale`` command line."""

import json
from pathlib import Path
import sys
from urllib.parse import urlencode
import warnings

import curio
import fire
from fire import decorators

from carawayvale.catalogue.position import format_position
from carawayvale.commands.client import read_states
from carawayvale.commands.client import send_call
from carawayvale.commands.client import Unreachable
from carawayvale.commands import daemons
from carawayvale.commands.demo import run_demo
from carawayvale.commands.documents import DocumentCommands
from carawayvale.commands.documents import print_json
from carawayvale.commands.exits import ExitStatus
from carawayvale.commands.exits import fail
from carawayvale.commands.request_timeline import explain_refusals
from carawayvale.commands.request_timeline import format_timeline
from carawayvale.commands.request_timeline import read_logs
from carawayvale.commands.request_timeline import select_lines
from carawayvale.contracts.address import Address
from carawayvale.contracts.address import parse_address
from carawayvale.contracts.findings import InvalidInput
from carawayvale.contracts import headers
from carawayvale.contracts.settings import load_settings
from carawayvale.platform.checks import check_configuration_file
from carawayvale.platform.checks import check_deploy_file
from carawayvale.platform.checks import check_settings_file
from carawayvale.standins.caller import Caller
from carawayvale.standins.caller import CallOutcome
from carawayvale.standins.caller import CallResult
from carawayvale.standins.caller import ServiceCall

DEFAULT_DOCUMENT = "examples/gitterwerk/document.ini"

EXIT_STATUS_BY_OUTCOME = {
    CallOutcome.ANSWERED: ExitStatus.DONE,
    CallOutcome.NOT_RUN: ExitStatus.FAILED,
    CallOutcome.FAILED: ExitStatus.FAILED,
    CallOutcome.WRONG: ExitStatus.FAILED,
    CallOutcome.UNKNOWN: ExitStatus.UNKNOWN,
}


def parse_address_argument(text: str) -> Address:
    """Parse an address argument; exit with a usage error if it is invalid.

    :param text: address as ``IP:port``.
    :returns: the parsed address.
    """
    try:
        return parse_address(str(text))
    except ValueError as error:
        fail(ExitStatus.USAGE, f"{text}: {error}")


class Commands:
    """Global traffic steering: daemons, stand-ins and operator tools.

    Exit statuses: 0 success, 1 refused or failed, 2 usage error, 3 invalid
    input, 4 conflict with another edit, 5 unreachable, 6 outcome unknown.
    """

    def __init__(self):
        self.document = DocumentCommands

    def entry(self, settings: str, log_level: str = "INFO") -> None:
        """Run an entry instance; SIGTERM starts a planned stop.

        :param settings: settings file with the section ``[entry]``.
        :param log_level: lowest level of the log lines that are written.
        """
        daemons.run_entry(settings, log_level)

    def store(self, settings: str, log_level: str = "INFO") -> None:
        """Run the stand-in for the platform's store.

        :param settings: settings file with the section ``[store]``.
        :param log_level: lowest level of the log lines that are written.
        """
        daemons.run_store(settings, log_level)

    def backend(
        self,
        settings: str = "",
        document: str = "",
        service_ms: float = 10.0,
        log_level: str = "INFO",
    ) -> None:
        """Run stand-ins for backend servers in one process.

        :param settings: settings file with the section ``[backend]``.
        :param document: file with a document; a stand-in runs for each
            of its endpoints. Replaces the settings file.
        :param service_ms: time to serve a request in milliseconds; used
            only with a document.
        :param log_level: lowest level of the log lines that are written.
        """
        if bool(settings) == bool(document):
            fail(
                ExitStatus.USAGE,
                "pass exactly one of --settings and --document",
            )
        if settings:
            backends = [load_settings(settings, "backend")]
        else:
            backends = daemons.make_backend_settings(document, service_ms)
        daemons.run_backends(backends, log_level)

    def lookup(
        self,
        entry: str,
        service: str,
        region: str = "",
        method: str = "GET",
        path: str = "/",
    ) -> None:
        """Ask an entry instance which entry instances serve a service.

        :param entry: address of the instance's port for callers.
        :param service: name of the service.
        :param region: region of the caller; if empty, the region is
            determined from the caller's IP address.
        :param method: HTTP method of the planned request.
        :param path: path of the planned request.
        """
        query = {"service": service, "method": method, "path": path}
        if region:
            query["region"] = region
        target = f"{headers.LOOKUP_PATH}?{urlencode(query)}"
        response = curio.run(
            send_call, parse_address_argument(entry), "GET", target
        )
        if response.head.status != 200:
            fail(ExitStatus.FAILED, response.body.decode())
        print_json(json.loads(response.body))

    def call(
        self,
        entry: str,
        service: str,
        method: str = "GET",
        path: str = "/",
        body: str = "",
        region: str = "",
        timeout_s: float = 5.0,
    ) -> None:
        """Look up a service, send it one request and print the outcome.

        :param entry: address of any entry instance's port for callers.
        :param service: name of the service.
        :param method: HTTP method of the request.
        :param path: path of the request.
        :param body: body of the request.
        :param region: region of the caller; if empty, the region is
            determined from the caller's IP address.
        :param timeout_s: time until the request's deadline in seconds.
        """
        caller = Caller((parse_address_argument(entry),), region)
        call = ServiceCall(
            service,
            method,
            path,
            body=str(body).encode(),
            timeout_s=timeout_s,
        )
        result: CallResult = curio.run(caller.call, call)
        print(
            f"verdict={result.outcome.value} request={result.request_id} "
            f"attempts={result.attempts} took_ms={result.took_s * 1000:.1f} "
            f"served_by={result.served_by or '-'} "
            f"reason={result.reason or '-'}"
        )
        raise SystemExit(int(EXIT_STATUS_BY_OUTCOME[result.outcome]))

    def status(
        self, settings: str = "operator.ini", verbose: bool = False
    ) -> None:
        """Print the revision in force and the state of each instance.

        :param settings: settings file with the section ``[operator]``.
        :param verbose: whether to print each state in full, as JSON.
        """
        operator = load_settings(settings, "operator")
        states = curio.run(read_states, operator.entries)
        for address, state in zip(operator.entries, states):
            if state is None:
                print(f"operators={address} answers=no")
            elif verbose:
                print_json(state)
            else:
                print(format_state(state))
        if not any(states):
            raise SystemExit(int(ExitStatus.UNREACHABLE))

    @decorators.SetParseFn(str)
    def explain(self, request_id: str, *logs: str) -> None:
        """Print the timeline of a request from the logs of instances.

        The causes of refusals for the caller's organisation follow it.

        :param request_id: ID of the request.
        :param logs: files with the log lines of one or more instances.
        """
        if not logs:
            fail(
                ExitStatus.USAGE, "pass the log file of at least one instance"
            )
        lines = read_logs(Path(name) for name in logs)
        timeline = select_lines(str(request_id), lines)
        if not timeline:
            fail(
                ExitStatus.FAILED,
                f"no line of request {request_id} in {len(lines)} lines; "
                "only a sample of the served requests is logged",
            )
        texts = format_timeline(str(request_id), timeline)
        texts += explain_refusals(str(request_id), timeline)
        print("\n".join(texts))

    def check_deploy(
        self,
        deploy: str = "deploy/system.toml",
        settings: str = "",
        configuration: str = "",
    ) -> None:
        """Check the files of a deployment on the platform.

        :param deploy: the deploy file.
        :param settings: settings file of a process; not checked if empty.
        :param configuration: file with the operators' configuration in
            its stored form; not checked if empty.
        """
        findings = check_deploy_file(deploy)
        if settings:
            findings += check_settings_file(settings)
        if configuration:
            findings += check_configuration_file(configuration)
        if findings:
            fail(ExitStatus.INVALID, "\n".join(map(str, findings)))
        print("no findings")

    def drain(self, entry: str) -> None:
        """Start the planned stop of an entry instance.

        :param entry: address of the instance's port for operators.
        """
        address = parse_address_argument(entry)
        response = curio.run(send_call, address, "POST", "/drain")
        print_json(json.loads(response.body))

    def soak(self, **options: object) -> None:
        """Play soaks of real gateways under trouble, and check promises.

        :param options: those that ``python -m carawayvale.soak --help``
            lists, such as ``--seed 1 --runs 5 --troubles term,kill``.
        """
        from carawayvale.soak.__main__ import play_seeds

        play_seeds(**options)

    def demo(
        self, document: str = DEFAULT_DOCUMENT, seconds: float = 8.0
    ) -> None:
        """Run a deployment in one process and send requests to it.

        :param document: file with the document.
        :param seconds: time in seconds during which requests are sent.
        """
        raise SystemExit(int(run_demo(document, seconds)))


def format_state(state: dict) -> str:
    """Format the state of an instance as one line of key=value pairs.

    :param state: the decoded state.
    :returns: the formatted line.
    """
    alive = [m for m in state["members"] if m["state"] == "alive"]
    revision = state["revision"]
    if isinstance(revision, int):
        # Entry instances send the packed position, gateways its text.
        revision = format_position(revision)
    return (
        f"name={state['name']} revision={revision} "
        f"ready={state['ready']} draining={state['draining']} "
        f"in_flight={state['in_flight']} members={len(alive)} "
        f"shards={len(state['shards'])} watcher={state['watcher']} "
        f"store_down={state['store_down']}"
    )


def run() -> None:
    """Parse the command line, run the command and report its errors."""
    # fire first tries to parse each argument as a Python literal, which
    # causes a SyntaxWarning for IP addresses.
    warnings.filterwarnings("ignore", category=SyntaxWarning)
    try:
        fire.Fire(Commands(), name="carawayvale")
    except InvalidInput as error:
        fail(ExitStatus.INVALID, str(error))
    except Unreachable as error:
        fail(ExitStatus.UNREACHABLE, str(error))
    except OSError as error:
        fail(ExitStatus.FAILED, str(error))
    except KeyboardInterrupt:
        sys.exit(int(ExitStatus.FAILED))
