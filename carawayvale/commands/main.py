"""The command ``carawayvale``."""

import json
from pathlib import Path
import sys
from urllib.parse import urlencode
import warnings

import curio
import fire
from fire import decorators

from carawayvale.commands.client import read_states
from carawayvale.commands.client import send_call
from carawayvale.commands.client import Unreachable
from carawayvale.commands import daemons
from carawayvale.commands.demo import run_demo
from carawayvale.commands.documents import DocumentCommands
from carawayvale.commands.documents import print_json
from carawayvale.commands.exits import ExitStatus
from carawayvale.commands.exits import fail
from carawayvale.commands.request_timeline import format_timeline
from carawayvale.commands.request_timeline import read_logs
from carawayvale.commands.request_timeline import select_lines
from carawayvale.contracts.address import Address
from carawayvale.contracts.fields import parse_address
from carawayvale.contracts.findings import InvalidInput
from carawayvale.contracts import headers as names
from carawayvale.contracts.settings import load_settings
from carawayvale.platform.checks import check_configuration_file
from carawayvale.platform.checks import check_deploy_file
from carawayvale.platform.checks import check_settings_file
from carawayvale.standins.caller import Call
from carawayvale.standins.caller import Caller
from carawayvale.standins.caller import CallResult
from carawayvale.standins.caller import Verdict

DEFAULT_DOCUMENT = "examples/gitterwerk/document.ini"

STATUS_OF_VERDICT = {
    Verdict.ANSWERED: ExitStatus.DONE,
    Verdict.NOT_RUN: ExitStatus.FAILED,
    Verdict.FAILED: ExitStatus.FAILED,
    Verdict.WRONG: ExitStatus.FAILED,
    Verdict.UNKNOWN: ExitStatus.UNKNOWN,
}


def read_address(text: str) -> Address:
    """Read an address argument, or exit.

    :param text: ``IP:port``.
    :returns: the address.
    """
    try:
        return parse_address(str(text))
    except ValueError as error:
        fail(ExitStatus.USAGE, f"{text}: {error}")


class Commands:
    """Global traffic steering: daemons, stand-ins and operators' tools.

    Exit statuses: 0 done, 1 refused or failed, 2 usage, 3 invalid
    input, 4 conflict with another editor, 5 unreachable, 6 unknown.
    """

    def __init__(self):
        self.document = DocumentCommands

    def entry(self, settings: str, log_level: str = "INFO") -> None:
        """Run an entry instance; SIGTERM is a planned stop.

        :param settings: file with the section ``[entry]``.
        :param log_level: least level of log lines.
        """
        daemons.run_entry(settings, log_level)

    def store(self, settings: str, log_level: str = "INFO") -> None:
        """Run the stand-in for the platform's store.

        :param settings: file with the section ``[store]``.
        :param log_level: least level of log lines.
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

        :param settings: file with the section ``[backend]``.
        :param document: file with a document, all of whose endpoints
            are to run; in place of the settings.
        :param service_ms: time that a request takes, with a document.
        :param log_level: least level of log lines.
        """
        if bool(settings) == bool(document):
            fail(ExitStatus.USAGE, "give either --settings or --document")
        if settings:
            listed = [load_settings(settings, "backend")]
        else:
            listed = daemons.list_backends(document, service_ms)
        daemons.run_backends(listed, log_level)

    def lookup(
        self,
        entry: str,
        service: str,
        region: str = "",
        method: str = "GET",
        path: str = "/",
    ) -> None:
        """Ask an entry instance which instances serve a service.

        :param entry: its port for callers.
        :param service: the service.
        :param region: the caller's region; else found by its address.
        :param method: HTTP method of the request to come.
        :param path: path of the request to come.
        """
        query = {"service": service, "method": method, "path": path}
        if region:
            query["region"] = region
        target = f"{names.LOOKUP_PATH}?{urlencode(query)}"
        answer = curio.run(send_call, read_address(entry), "GET", target)
        if answer.head.status != 200:
            fail(ExitStatus.FAILED, answer.body.decode())
        print_json(json.loads(answer.body))

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
        """Look up, send one request, and print what became of it.

        :param entry: callers' port of any entry instance.
        :param service: the service.
        :param method: HTTP method.
        :param path: path.
        :param body: body of the request.
        :param region: the caller's region; else found by its address.
        :param timeout_s: time until the deadline in seconds.
        """
        caller = Caller((read_address(entry),), region)
        call = Call(
            service,
            method,
            path,
            body=str(body).encode(),
            timeout_s=timeout_s,
        )
        result: CallResult = curio.run(caller.call, call)
        print(
            f"verdict={result.verdict.value} request={result.request_id} "
            f"attempts={result.attempts} took_ms={result.took_s * 1000:.1f} "
            f"served_by={result.served_by or '-'} "
            f"reason={result.reason or '-'}"
        )
        raise SystemExit(int(STATUS_OF_VERDICT[result.verdict]))

    def status(
        self, settings: str = "operator.ini", verbose: bool = False
    ) -> None:
        """Show the revision in force and the state of each instance.

        :param settings: file with the section ``[operator]``.
        :param verbose: whether to print the whole states.
        """
        loaded = load_settings(settings, "operator")
        states = curio.run(read_states, loaded.entries)
        for address, state in zip(loaded.entries, states):
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
        """Tell what became of a request, from the logs of instances.

        :param request_id: its id.
        :param logs: files with the log lines of one instance or more.
        """
        if not logs:
            fail(ExitStatus.USAGE, "name the log files of some instances")
        lines = read_logs(Path(name) for name in logs)
        story = select_lines(str(request_id), lines)
        if not story:
            fail(
                ExitStatus.FAILED,
                f"no line of request {request_id} in {len(lines)} lines; "
                "of requests that are served only a sample is logged",
            )
        print("\n".join(format_timeline(str(request_id), story)))

    def check_deploy(
        self,
        deploy: str = "deploy/system.toml",
        settings: str = "",
        configuration: str = "",
    ) -> None:
        """Check the files of a deployment on the platform.

        :param deploy: the deploy file.
        :param settings: settings file of a process, if any.
        :param configuration: file with the operators' configuration, as
            it is stored, if any.
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
        """Begin the planned stop of an entry instance.

        :param entry: its port for operators.
        """
        address = read_address(entry)
        answer = curio.run(send_call, address, "POST", "/drain")
        print_json(json.loads(answer.body))

    def demo(
        self, document: str = DEFAULT_DOCUMENT, seconds: float = 8.0
    ) -> None:
        """Run a deployment in one process and send it requests.

        :param document: file with the document.
        :param seconds: how long requests are sent.
        """
        raise SystemExit(int(run_demo(document, seconds)))


def format_state(state: dict) -> str:
    """Write the state of an instance on one line.

    :param state: the decoded state.
    :returns: key=value pairs.
    """
    live = [m for m in state["members"] if m["state"] == "alive"]
    return (
        f"name={state['name']} revision={state['revision']} "
        f"ready={state['ready']} draining={state['draining']} "
        f"in_flight={state['in_flight']} members={len(live)} "
        f"shards={len(state['shards'])} watcher={state['watcher']} "
        f"store_down={state['store_down']}"
    )


def run() -> None:
    """Run the command line."""
    # fire tries every argument as a literal; IP numbers make it warn.
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
