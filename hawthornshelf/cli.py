"""Define the command line; the commands are thin wrappers around porcelain."""

import getpass
import os
import sys
from collections.abc import Sequence
from importlib.metadata import version
from pathlib import Path
from typing import Any, ClassVar

import msgspec
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from hawthornshelf import porcelain
from hawthornshelf.burn import describe_burn, plot_burn
from hawthornshelf.commands import (
    ConfigurationAccepted,
    ConfigurationConflict,
    NotFound,
    Result,
)
from hawthornshelf.configuration import Configuration
from hawthornshelf.declarations import (
    check_configuration,
    diff_configurations,
    load_declaration,
    print_configuration,
    read_declaration,
)
from hawthornshelf.errors import DeclarationError, HawthornshelfError, RequestRefused
from hawthornshelf.explain import describe_trace
from hawthornshelf.settings import SETTINGS, read_settings
from hawthornshelf.texttable import format_table

__all__ = ["main"]

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
EXIT_UNAVAILABLE = 3
ADDRESSES_VARIABLE = "HAWTHORNSHELF_AT"
TOKEN_VARIABLE = "HAWTHORNSHELF_OPERATOR_TOKEN"
EXITS_HELP = "Exit codes: 0 done, 1 refused, 2 bad input, 3 no node responded."


def _format_help(example: str, text: str = "") -> str:
    parts = [text, f"Example: {example}", EXITS_HELP]
    return "\n\n".join(part for part in parts if part)


class _OperatorCommand(Command):
    """Provide the options and error handling that the operators' commands share."""

    extra_options: ClassVar[list[Option]] = []
    extra_arguments: ClassVar[list[Argument]] = []

    def __init__(self) -> None:
        self.options = [
            option(
                "at", None, f"nodes to ask, ip:port,... or {ADDRESSES_VARIABLE}", False
            ),
            option("json", None, "print JSON", True),
            *self.extra_options,
        ]
        self.arguments = list(self.extra_arguments)
        super().__init__()

    def handle(self) -> int:
        """Run the command; print its errors and return the exit code."""
        try:
            return self.run_command()
        except* DeclarationError as group:
            self._print_errors(group)
            status = EXIT_BAD_INPUT
        except* RequestRefused as group:
            self._print_errors(group)
            status = EXIT_REFUSED
        except* HawthornshelfError as group:
            self._print_errors(group)
            status = EXIT_UNAVAILABLE
        return status

    def run_command(self) -> int:
        """Run the command and return the exit code; subclasses implement this."""
        raise AssertionError("subclasses implement run_command")

    @property
    def at(self) -> list[str]:
        """Return the addresses of the nodes to ask."""
        text = self.option("at") or os.environ.get(ADDRESSES_VARIABLE, "")
        return [address for address in text.split(",") if address]

    @property
    def token(self) -> str:
        """Return the operator token."""
        return os.environ.get(TOKEN_VARIABLE, "")

    def print_result(self, result: Any, text: str) -> None:
        """Print the text, or the result as JSON with the option --json."""
        if self.option("json"):
            data = msgspec.json.format(msgspec.json.encode(result), indent=2)
            print(data.decode())
        else:
            print(text.rstrip("\n"))

    def load_configuration(self) -> Configuration:
        """Return the declared configuration in the file argument."""
        return load_declaration(Path(self.argument("file")))

    def _print_errors(self, group: BaseExceptionGroup[Any]) -> None:
        for error in group.exceptions:
            if isinstance(error, BaseExceptionGroup):
                self._print_errors(error)
            else:
                print(f"error: {error}", file=sys.stderr)


_FILE = argument("file", "Python file that defines `configuration`")
_UPSTREAM = argument("upstream", "name of the runner")
_NODE = argument("node", "name of the node")


class _Serve(Command):
    name = "serve"
    description = "Run a node"
    help = _format_help(
        "hawthornshelf serve --node tt-a1 --data-centre tt-north-a "
        "--listen 127.0.0.1:8001 --peer-listen 127.0.0.1:9001 "
        "--control tt-a1=127.0.0.1:9001 --roles entry,control --data /var/lib/hs",
        "Each flag may be set by its HAWTHORNSHELF_* variable; flags take precedence.",
    )
    options: ClassVar[list[Option]] = [
        *(
            option(s.name, None, f"{s.help} ({s.allowed}; {s.variable})", False)
            for s in SETTINGS
        ),
        option("check-settings", None, "print the settings and exit", True),
    ]

    def handle(self) -> int:
        """Validate the settings and run the node."""
        flags = {setting.name: self.option(setting.name) for setting in SETTINGS}
        try:
            settings, values = read_settings(flags, os.environ)
        except ExceptionGroup as group:
            for error in group.exceptions:
                print(f"error: {error}", file=sys.stderr)
            return EXIT_BAD_INPUT
        if self.option("check-settings"):
            rows = [(v.setting.name, v.display_text(), v.origin) for v in values]
            print(format_table(("setting", "value", "from"), rows))
            return EXIT_OK
        from hawthornshelf.process import run_process

        try:
            run_process(settings)
        except (HawthornshelfError, OSError, RuntimeError) as error:
            print(f"error: {error}", file=sys.stderr)
            return EXIT_REFUSED
        return EXIT_OK


class _Addresses(_OperatorCommand):
    name = "addresses"
    description = "Print the addresses that callers should use"
    help = _format_help("hawthornshelf addresses --at 127.0.0.1:8001")
    extra_options: ClassVar[list[Option]] = [
        option("data-centre", None, "data centre of the caller", False)
    ]

    def run_command(self) -> int:
        """Print the addresses."""
        data_centre = self.option("data-centre") or ""
        response = porcelain.fetch_addresses(self.at, data_centre)
        lines = [*response.addresses, f"max-age {response.max_age:g} s"]
        self.print_result(response, "\n".join(lines))
        return EXIT_OK


class _Status(_OperatorCommand):
    name = "status"
    description = "Print nodes, replicas, drains and orders, and what drains wait for"
    help = _format_help("hawthornshelf status --at 127.0.0.1:8001")

    def run_command(self) -> int:
        """Print the status."""
        report = porcelain.fetch_status(self.at, self.token)
        self.print_result(report, porcelain.describe_status(report))
        return EXIT_OK


class _ConfigPrint(_OperatorCommand):
    name = "config print"
    description = "Validate a declaration and print it"
    help = _format_help("hawthornshelf config print examples/bamboo_lantern.py")
    extra_arguments: ClassVar[list[Argument]] = [_FILE]

    def run_command(self) -> int:
        """Print the declaration."""
        configuration = self.load_configuration()
        self.print_result(configuration, print_configuration(configuration))
        return EXIT_OK


class _ConfigCheck(_OperatorCommand):
    name = "config check"
    description = "Check a declaration for errors, entries without effect and limits"
    help = _format_help(
        "hawthornshelf config check examples/bamboo_lantern.py --at 127.0.0.1:8001",
        "Names all errors, entries that can never match and limits that contradict "
        "each other. With nodes to ask, adds what differs from the version in force. "
        "Exits with 1 if the declaration is valid but has such entries or limits.",
    )
    extra_arguments: ClassVar[list[Argument]] = [_FILE]

    def run_command(self) -> int:
        """Print what the check finds."""
        configuration = read_declaration(Path(self.argument("file")))
        review = porcelain.review_declaration(configuration)
        try:
            if self.at and not review.errors:
                review = porcelain.compare_declaration(
                    review, configuration, self.at, self.token
                )
        finally:
            findings = [finding._asdict() for finding in review.findings]
            data = {**review._asdict(), "findings": findings}
            self.print_result(data, porcelain.describe_review(review))
        check_configuration(configuration)
        return EXIT_REFUSED if review.findings else EXIT_OK


class _ConfigDiff(_OperatorCommand):
    name = "config diff"
    description = "Compare a declaration with the configuration in force"
    help = _format_help(
        "hawthornshelf config diff examples/bamboo_lantern.py --at 127.0.0.1:8001"
    )
    extra_arguments: ClassVar[list[Argument]] = [_FILE]

    def run_command(self) -> int:
        """Print the difference."""
        proposed = self.load_configuration()
        report = porcelain.fetch_configuration(self.at, self.token)
        text = diff_configurations(report.configuration, proposed)
        message = text or f"no difference from version {report.version}"
        self.print_result({"version": report.version, "diff": text}, message)
        return EXIT_OK


class _ConfigPropose(_OperatorCommand):
    name = "config propose"
    description = "Propose a declaration; it is accepted if its base is in force"
    help = _format_help(
        "hawthornshelf config propose examples/bamboo_lantern.py --base 0 "
        "--at 127.0.0.1:8001",
        "A proposal is idempotent: sending it again with the same change id "
        "returns the first result.",
    )
    extra_arguments: ClassVar[list[Argument]] = [_FILE]
    extra_options: ClassVar[list[Option]] = [
        option("base", None, "version the change is based on", False),
        option("change-id", None, "change id of a proposal to send again", False),
        option("operator", None, "operator's name for the history", False),
    ]

    def run_command(self) -> int:
        """Propose the declaration."""
        configuration = self.load_configuration()
        change_id = self.option("change-id") or porcelain.make_change_id()
        base = self._find_base_version()
        print(f"change id {change_id}", file=sys.stderr)
        result = porcelain.propose_configuration(
            self.at,
            configuration,
            base,
            change_id,
            self.option("operator") or getpass.getuser(),
            self.token,
        )
        return self._report_result(result)

    def _find_base_version(self) -> int:
        text = self.option("base")
        if text is not None:
            if not text.isdigit():
                raise DeclarationError("--base", f"{text!r} is not a version number")
            return int(text)
        return porcelain.fetch_configuration(self.at, self.token).version

    def _report_result(self, result: Result) -> int:
        match result:
            case ConfigurationAccepted(accepted):
                self.print_result(result, f"accepted as version {accepted}")
                return EXIT_OK
            case ConfigurationConflict(base, current):
                text = f"refused: based on version {base}, in force is {current}"
                self.print_result(result, text)
        return EXIT_REFUSED


class _ConfigShow(_OperatorCommand):
    name = "config show"
    description = "Print the configuration in force, and each node's version"
    help = _format_help("hawthornshelf config show --at 127.0.0.1:8001")

    def run_command(self) -> int:
        """Print the configuration."""
        report = porcelain.fetch_configuration(self.at, self.token)
        status = porcelain.fetch_status(self.at, self.token)
        rows = [(m.node, m.status, m.version) for m in status.members]
        text = (
            f"version {report.version}\n{print_configuration(report.configuration)}"
            f"\n{format_table(('node', 'status', 'version'), rows)}"
        )
        self.print_result(report, text)
        return EXIT_OK


class _ConfigHistory(_OperatorCommand):
    name = "config history"
    description = "Print the accepted changes (ask a control node)"
    help = _format_help("hawthornshelf config history --at 127.0.0.1:8001")

    def run_command(self) -> int:
        """Print the history."""
        history = porcelain.fetch_configuration(self.at, self.token).history
        rows = [
            (c.version, c.change_id, c.operator, porcelain.format_stamp(c.accepted))
            for c in history
        ]
        headers = ("version", "change id", "operator", "accepted")
        self.print_result(history, format_table(headers, rows))
        return EXIT_OK


class _UpstreamList(_OperatorCommand):
    name = "upstream list"
    description = "Print the upstreams as an entry node sees them"
    help = _format_help("hawthornshelf upstream list --at 127.0.0.1:8001")

    def run_command(self) -> int:
        """Print the upstreams."""
        report = porcelain.fetch_status(self.at, self.token)
        rows = [
            (u.upstream, u.service, u.in_flight, "no" if u.blocked else "yes")
            for u in report.upstreams
        ]
        headers = ("upstream", "service", "in flight", "accepts requests")
        self.print_result(report.upstreams, format_table(headers, rows))
        return EXIT_OK


class _UpstreamDrain(_OperatorCommand):
    name = "upstream drain"
    description = "Stop new requests to an upstream; running requests finish"
    help = _format_help("hawthornshelf upstream drain lm-1 --at 127.0.0.1:8001")
    extra_arguments: ClassVar[list[Argument]] = [_UPSTREAM]

    def run_command(self) -> int:
        """Drain the upstream."""
        name = self.argument("upstream")
        result = porcelain.drain_upstream(self.at, name, self.token)
        self.print_result(
            result, f"{name} accepts no new requests; status lists the nodes awaited"
        )
        return EXIT_OK


class _UpstreamRelease(_OperatorCommand):
    name = "upstream release"
    description = "End the drain of an upstream"
    help = _format_help("hawthornshelf upstream release lm-1 --at 127.0.0.1:8001")
    extra_arguments: ClassVar[list[Argument]] = [_UPSTREAM]

    def run_command(self) -> int:
        """Release the upstream."""
        name = self.argument("upstream")
        result = porcelain.release_upstream(self.at, name, self.token)
        if isinstance(result, NotFound):
            self.print_result(result, f"{name} is not drained")
            return EXIT_REFUSED
        self.print_result(result, f"{name} accepts requests again")
        return EXIT_OK


class _NodeRemove(_OperatorCommand):
    name = "node remove"
    description = "Remove a dead entry node (ask a control node)"
    help = _format_help(
        "hawthornshelf node remove tt-a2 --at 127.0.0.1:8001",
        "A node that is not dead is refused; a removed node that returns joins again.",
    )
    extra_arguments: ClassVar[list[Argument]] = [_NODE]

    def run_command(self) -> int:
        """Remove the node."""
        node = self.argument("node")
        result = porcelain.remove_node(self.at, node, self.token)
        self.print_result(result, f"removed {node}: drains no longer wait for it")
        return EXIT_OK


class _ReplicaList(_OperatorCommand):
    name = "replica list"
    description = "Print the control replicas (ask a control node)"
    help = _format_help("hawthornshelf replica list --at 127.0.0.1:8001")

    def run_command(self) -> int:
        """Print the replicas."""
        control = porcelain.fetch_status(self.at, self.token).control
        replicas = control.replicas if control else ()
        rows = [
            (r.node, r.replica, "voter" if r.voter else "learner") for r in replicas
        ]
        self.print_result(replicas, format_table(("node", "replica", "kind"), rows))
        return EXIT_OK


class _ReplicaChange(_OperatorCommand):
    admit = True
    extra_arguments: ClassVar[list[Argument]] = [_NODE]

    def run_command(self) -> int:
        """Change the replicas."""
        node = self.argument("node")
        response = porcelain.change_replica(self.at, node, self.admit, self.token)
        state = "admitted once it has caught up" if self.admit else "being removed"
        self.print_result(
            response, f"{node}: {state if response.accepted else response.reason}"
        )
        return EXIT_OK if response.accepted else EXIT_REFUSED


class _ReplicaAdd(_ReplicaChange):
    name = "replica add"
    description = "Admit the replica of a new control node"
    help = _format_help("hawthornshelf replica add tt-b2 --at 127.0.0.1:8001")


class _ReplicaRemove(_ReplicaChange):
    name = "replica remove"
    description = "Remove the replica of a control node"
    help = _format_help("hawthornshelf replica remove tt-b2 --at 127.0.0.1:8001")
    admit = False


class _ReportBurn(_OperatorCommand):
    name = "report burn"
    description = "Print the burn rates of the objectives' error budgets"
    help = _format_help("hawthornshelf report burn --at 127.0.0.1:8001 --plot")
    extra_options: ClassVar[list[Option]] = [
        option("plot", None, "add a bar chart", True)
    ]

    def run_command(self) -> int:
        """Print the report."""
        report = porcelain.report_burn(self.at, self.token)
        text = describe_burn(report)
        if self.option("plot"):
            text = f"{text}\n\n{plot_burn(report)}"
        self.print_result(report, text)
        return EXIT_OK


class _Explain(Command):
    name = "explain"
    description = "Explain the outcome of a request from the logs of the nodes"
    help = _format_help(
        "hawthornshelf explain 9c41d07be2a35f68 /var/log/nodes/*.log",
        "Reads standard input if no file is named.",
    )
    arguments: ClassVar[list[Argument]] = [
        argument("request", "id of the request"),
        argument("files", "log files of the nodes", optional=True, multiple=True),
    ]
    options: ClassVar[list[Option]] = [option("json", None, "print JSON", True)]

    def handle(self) -> int:
        """Print the trace; exit with 1 if no line names the request."""
        try:
            trace = porcelain.explain(self.argument("request"), self.argument("files"))
        except OSError as error:
            print(f"error: cannot read the logs: {error}", file=sys.stderr)
            return EXIT_BAD_INPUT
        if self.option("json"):
            print(msgspec.json.encode(trace).decode())
        else:
            print(describe_trace(trace))
        return EXIT_OK if trace.steps else EXIT_REFUSED


class _Version(Command):
    name = "version"
    description = "Print the version"
    help = _format_help("hawthornshelf version")

    def handle(self) -> int:
        """Print the version."""
        print(f"hawthornshelf {version('hawthornshelf')}")
        return EXIT_OK


_COMMANDS = (
    _Serve,
    _Addresses,
    _Status,
    _ConfigPrint,
    _ConfigCheck,
    _ConfigDiff,
    _ConfigPropose,
    _ConfigShow,
    _ConfigHistory,
    _UpstreamList,
    _UpstreamDrain,
    _UpstreamRelease,
    _NodeRemove,
    _ReplicaList,
    _ReplicaAdd,
    _ReplicaRemove,
    _ReportBurn,
    _Explain,
    _Version,
)


def make_application() -> Application:
    """Return the command-line application."""
    application = Application("hawthornshelf", version("hawthornshelf"))
    for command in _COMMANDS:
        application.add(command())
    return application


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command line and exit with its code."""
    if arguments is not None:
        sys.argv = ["hawthornshelf", *arguments]
    make_application().run()
