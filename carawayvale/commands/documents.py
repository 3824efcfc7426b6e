"""Commands ``carawayvale document``: show, check and edit the document."""

import json
from pathlib import Path
import sys
import time

import curio

from carawayvale.catalogue.position import format_position
from carawayvale.commands.client import read_states
from carawayvale.commands.client import send_call
from carawayvale.commands.client import Unreachable
from carawayvale.commands.exits import ExitStatus
from carawayvale.commands.exits import fail
from carawayvale.contracts.document import parse_document
from carawayvale.contracts.findings import InvalidInput
from carawayvale.contracts.settings import load_key
from carawayvale.contracts.settings import load_settings
from carawayvale.contracts.settings import OperatorSettings
from carawayvale.documents.editor import Edit
from carawayvale.documents.editor import Editor
from carawayvale.documents.editor import EditResult
from carawayvale.documents.editor import EditStatus
from carawayvale.documents.editor import Snapshot
from carawayvale.documents.envelope import Envelope
from carawayvale.documents.store import make_store
from carawayvale.documents.store import StoreUnavailable
from carawayvale.machines.operator_handler import sign_document
from carawayvale.machines.operator_handler import SIGNATURE_HEADER

POLL_INTERVAL_S = 0.2
DEFAULT_WAIT_S = 7.0
MAX_PUSHED_INSTANCES = 3

EXIT_STATUS_BY_EDIT_STATUS = {
    EditStatus.ACCEPTED: ExitStatus.DONE,
    EditStatus.INVALID: ExitStatus.INVALID,
    EditStatus.FORBIDDEN: ExitStatus.INVALID,
    EditStatus.CONFLICT: ExitStatus.CONFLICT,
    EditStatus.NOT_ACCEPTED: ExitStatus.UNREACHABLE,
    EditStatus.UNKNOWN: ExitStatus.UNKNOWN,
}


class DocumentCommands:
    """Show, check and edit the operators' document.

    Commands: show, check, edit and history; run one with --help for its
    arguments.

    :param settings: settings file with the section ``[operator]``.
    """

    def __init__(self, settings: str = "operator.ini"):
        self._settings_path = settings

    def _load_settings(self) -> OperatorSettings:
        return load_settings(self._settings_path, "operator")

    def _open_editor(self) -> Editor:
        settings = self._load_settings()
        return Editor(make_store(settings.store_kind, settings.store))

    def _read_snapshot(self) -> Snapshot:
        try:
            return curio.run(self._open_editor().read)
        except StoreUnavailable as error:
            fail(ExitStatus.UNREACHABLE, str(error))
        except ValueError as error:
            fail(ExitStatus.INVALID, str(error))

    def show(self, section: str = "") -> None:
        """Print the document or one of its sections.

        :param section: title of the section; the whole document if empty.
        """
        snapshot = self._read_snapshot()
        if not section:
            revision = format_position(snapshot.envelope.revision)
            print(f"# revision {revision}")
            print(snapshot.document.text)
            return
        found = snapshot.document.sections.get(section)
        if found is None:
            fail(ExitStatus.INVALID, f"the document has no section {section}")
        print(f"[{section}]\n{found.body.strip()}")

    def check(self, file: str) -> None:
        """Check a file with a whole document and print every finding.

        :param file: name of the file.
        """
        try:
            text = Path(file).read_text()
        except OSError as error:
            fail(ExitStatus.INVALID, f"{file}: {error.strerror}")
        result = parse_document(text, file)
        if result.is_error():
            raise InvalidInput(result.error)
        print(f"{file}: {len(result.ok.sections)} sections, no findings")

    def history(self) -> None:
        """Print the most recent accepted edits, oldest first."""
        for edit in self._read_snapshot().envelope.edits:
            edit_time = time.strftime(
                "%Y-%m-%dT%H:%M:%SZ", time.gmtime(edit.time_s)
            )
            print(
                f"revision={format_position(edit.revision)} time={edit_time} "
                f"team={edit.team} section={edit.section} edit={edit.edit_id}"
            )

    def edit(
        self,
        section: str,
        *values: str,
        team: str = "",
        file: str = "",
        remove: bool = False,
        wait_s: float = DEFAULT_WAIT_S,
    ) -> None:
        """Change one section and wait until the change is in force.

        :param section: title of the section.
        :param values: ``key=value`` pairs; ``key=`` removes the key.
        :param team: team that makes the edit; if empty, the team in the
            settings.
        :param file: file with the complete new body of the section;
            ``-`` reads it from standard input.
        :param remove: whether to remove the section.
        :param wait_s: maximum time in seconds to wait until the edit is in
            force at all responding instances.
        """
        settings = self._load_settings()
        edit = Edit(
            section,
            team or settings.team,
            parse_values(values),
            read_body_file(file) if file else None,
            remove,
        )
        editor = Editor(make_store(settings.store_kind, settings.store))
        result = curio.run(editor.edit, edit)
        report_edit(result)
        curio.run(distribute_edit, settings, result, wait_s)


def parse_values(values: tuple[str, ...]) -> dict[str, str | None]:
    """Parse ``key=value`` arguments.

    :param values: the arguments.
    :returns: new value by key; None removes the key.
    """
    parsed: dict[str, str | None] = {}
    for argument in values:
        key, separator, text = str(argument).partition("=")
        if not separator:
            fail(
                ExitStatus.USAGE,
                f"{argument!r} does not have the form key=value",
            )
        parsed[key.strip()] = text.strip() or None
    return parsed


def read_body_file(file: str) -> str:
    """Read the new body of a section from a file or standard input.

    :param file: name of the file, or ``-`` for standard input.
    :returns: the body.
    """
    if file == "-":
        return sys.stdin.read()
    try:
        return Path(file).read_text()
    except OSError as error:
        fail(ExitStatus.INVALID, f"{file}: {error.strerror}")


def report_edit(result: EditResult) -> None:
    """Print the outcome of an edit; exit unless it was accepted.

    :param result: result of the edit.
    """
    if result.status is EditStatus.ACCEPTED:
        print(f"accepted as revision {format_position(result.revision)}")
        return
    lines = [f"{result.status.value}: nothing else was changed"]
    if result.status is EditStatus.UNKNOWN:
        lines = ["unknown: look at 'document history' when the store is up"]
    lines += [str(finding) for finding in result.findings]
    if result.current_body:
        lines += ["current body of the section:", result.current_body]
    fail(EXIT_STATUS_BY_EDIT_STATUS[result.status], "\n".join(lines))


async def push_envelope(settings: OperatorSettings, envelope: Envelope) -> int:
    """Send an accepted revision directly to a few instances.

    Stops as soon as ``MAX_PUSHED_INSTANCES`` instances have accepted the
    revision. Sends nothing if the settings provide no key.

    :param settings: settings of the operator.
    :param envelope: the accepted revision as it is stored.
    :returns: number of instances that accepted the revision.
    """
    try:
        key = load_key(settings)
    except InvalidInput:
        return 0
    data = envelope.encode().encode()
    headers = [
        (b"host", b"entry"),
        (SIGNATURE_HEADER, sign_document(key, data)),
    ]
    accepted = 0
    for address in settings.entries:
        try:
            response = await send_call(
                address, "POST", "/document", headers, data
            )
        except Unreachable:
            continue
        accepted += response.head.status == 200
        if accepted == MAX_PUSHED_INSTANCES:
            break
    return accepted


async def distribute_edit(
    settings: OperatorSettings, result: EditResult, wait_s: float
) -> None:
    """Send an edit to a few instances and wait until all have it in force.

    Instances that do not respond are not waited for. If the wait ends
    first, the process exits with ``ExitStatus.UNKNOWN``.

    :param settings: settings of the operator.
    :param result: result of the accepted edit.
    :param wait_s: maximum wait in seconds.
    """
    if not settings.entries:
        return
    await push_envelope(settings, result.envelope)
    start_s = time.monotonic()
    while True:
        states = await read_states(settings.entries)
        responding = [state for state in states if state is not None]
        outdated = [s for s in responding if s["revision"] < result.revision]
        took_s = time.monotonic() - start_s
        unresponsive = len(states) - len(responding)
        if responding and not outdated:
            print(
                f"in force at {len(responding)} instances after {took_s:.1f} s"
                f"; {unresponsive} do not respond"
            )
            return
        if took_s >= wait_s:
            names = ", ".join(sorted(s["name"] for s in outdated))
            fail(
                ExitStatus.UNKNOWN,
                f"accepted, but not yet in force at: {names or 'any'}; "
                f"{unresponsive} do not respond",
            )
        await curio.sleep(POLL_INTERVAL_S)


def print_json(value: object) -> None:
    """Print a value as indented JSON.

    :param value: any JSON-serialisable value.
    """
    print(json.dumps(value, indent=2))
