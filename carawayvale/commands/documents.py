"""The commands ``carawayvale document ...``."""

import json
from pathlib import Path
import sys
import time

import curio

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

POLL_S = 0.2
DEFAULT_WAIT_S = 7.0
PUSHED_TO = 3

STATUS_OF_EDIT = {
    EditStatus.ACCEPTED: ExitStatus.DONE,
    EditStatus.INVALID: ExitStatus.INVALID,
    EditStatus.FORBIDDEN: ExitStatus.INVALID,
    EditStatus.CONFLICT: ExitStatus.CONFLICT,
    EditStatus.NOT_ACCEPTED: ExitStatus.UNREACHABLE,
    EditStatus.UNKNOWN: ExitStatus.UNKNOWN,
}


class DocumentCommands:
    """Show, check and edit the operators' document.

    Commands: show, check, edit, history; each has a --help of its own.

    :param settings: file with the section ``[operator]``.
    """

    def __init__(self, settings: str = "operator.ini"):
        self._path = settings

    def _load(self) -> OperatorSettings:
        return load_settings(self._path, "operator")

    def _open(self) -> Editor:
        settings = self._load()
        return Editor(make_store(settings.store_kind, settings.store))

    def _read(self) -> Snapshot:
        try:
            return curio.run(self._open().read)
        except StoreUnavailable as error:
            fail(ExitStatus.UNREACHABLE, str(error))
        except ValueError as error:
            fail(ExitStatus.INVALID, str(error))

    def show(self, section: str = "") -> None:
        """Print the document, or one section of it.

        :param section: title of the section.
        """
        snapshot = self._read()
        if not section:
            print(f"# revision {snapshot.envelope.revision}")
            print(snapshot.document.text)
            return
        found = snapshot.document.sections.get(section)
        if found is None:
            fail(ExitStatus.INVALID, f"there is no section {section}")
        print(f"[{section}]\n{found.body.strip()}")

    def check(self, file: str) -> None:
        """Check a whole document in a file and print every finding.

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
        """Print the newest accepted edits, oldest first."""
        for edit in self._read().envelope.edits:
            when = time.strftime(
                "%Y-%m-%dT%H:%M:%SZ", time.gmtime(edit.time_s)
            )
            print(
                f"revision={edit.revision} time={when} team={edit.team} "
                f"section={edit.section} edit={edit.edit_id}"
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
        """Change one section and watch the change take hold.

        :param section: title of the section.
        :param values: ``key=value`` pairs; ``key=`` removes the key.
        :param team: team of the editor; else the settings' team.
        :param file: file with the whole new body; ``-`` reads it from
            standard input.
        :param remove: whether to remove the section.
        :param wait_s: longest wait until it is in force everywhere.
        """
        settings = self._load()
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
        curio.run(spread_edit, settings, result, wait_s)


def parse_values(values: tuple[str, ...]) -> dict[str, str | None]:
    """Parse ``key=value`` arguments.

    :param values: the arguments.
    :returns: texts by key; None removes a key.
    """
    parsed: dict[str, str | None] = {}
    for value in values:
        key, separator, text = str(value).partition("=")
        if not separator:
            fail(ExitStatus.USAGE, f"{value!r} is not key=value")
        parsed[key.strip()] = text.strip() or None
    return parsed


def read_body_file(file: str) -> str:
    """Read the new body of a section.

    :param file: name of the file, or ``-`` for standard input.
    :returns: the text.
    """
    if file == "-":
        return sys.stdin.read()
    try:
        return Path(file).read_text()
    except OSError as error:
        fail(ExitStatus.INVALID, f"{file}: {error.strerror}")


def report_edit(result: EditResult) -> None:
    """Print what became of an edit; exit unless it was accepted.

    :param result: the result.
    """
    if result.status is EditStatus.ACCEPTED:
        print(f"accepted as revision {result.revision}")
        return
    lines = [f"{result.status.value}: nothing else was changed"]
    if result.status is EditStatus.UNKNOWN:
        lines = ["unknown: look at 'document history' when the store is up"]
    lines += [str(finding) for finding in result.findings]
    if result.current_body:
        lines += ["the section now reads:", result.current_body]
    fail(STATUS_OF_EDIT[result.status], "\n".join(lines))


async def push_envelope(settings: OperatorSettings, envelope: Envelope) -> int:
    """Hand an accepted revision to a few instances directly.

    :param settings: the operator's settings.
    :param envelope: the accepted value.
    :returns: how many instances took it.
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
    taken = 0
    for address in settings.entries:
        try:
            answer = await send_call(
                address, "POST", "/document", headers, data
            )
        except Unreachable:
            continue
        taken += answer.head.status == 200
        if taken == PUSHED_TO:
            break
    return taken


async def spread_edit(
    settings: OperatorSettings, result: EditResult, wait_s: float
) -> None:
    """Hand an edit to instances and wait until it is in force.

    :param settings: the operator's settings.
    :param result: the accepted edit.
    :param wait_s: longest wait in seconds.
    """
    if not settings.entries:
        return
    await push_envelope(settings, result.envelope)
    began_s = time.monotonic()
    while True:
        states = await read_states(settings.entries)
        live = [state for state in states if state is not None]
        behind = [s for s in live if s["revision"] < result.revision]
        took_s = time.monotonic() - began_s
        silent = len(states) - len(live)
        if live and not behind:
            print(
                f"in force at {len(live)} instances after {took_s:.1f} s"
                f"; {silent} do not answer"
            )
            return
        if took_s >= wait_s:
            names = ", ".join(sorted(s["name"] for s in behind))
            fail(
                ExitStatus.UNKNOWN,
                f"accepted, but not yet in force at: {names or 'any'}; "
                f"{silent} do not answer",
            )
        await curio.sleep(POLL_S)


def print_json(value: object) -> None:
    """Print a value as indented JSON.

    :param value: the value.
    """
    print(json.dumps(value, indent=2))
