"""Command lines of the programs: flags, environment variables, exit codes.

A program passes its functions to `run_program`. Keyword-only parameters become
flags. Each flag can also be set by an environment variable, which a flag on the
command line overrides: `--drain-limit-s` by `APPLESPRING_DRAIN_LIMIT_S`. The
annotation of a parameter states its bounds:

    def serve(*, port: Annotated[int, Range(1, 65535)] = 8080) -> int: ...
"""

import enum
import functools
import inspect
import os
import pathlib
import sys
import types
import typing
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import defopt

import applespring
from applespring.core.errors import SettingsError

EXIT_DONE = 0
EXIT_FAULT = 1
EXIT_USAGE = 2
VARIABLE_PREFIX = "APPLESPRING_"

_Command = Callable[..., int | None]
_BOOL_BY_TEXT = {"true": True, "false": False}


class Range:
    """Inclusive bounds of a number, for use in `Annotated`."""

    __slots__ = ("low", "high")

    def __init__(self, low: float, high: float) -> None:
        self.low = low
        self.high = high

    def __contains__(self, value: float) -> bool:
        return self.low <= value <= self.high

    def __str__(self) -> str:
        return f"{self.low} to {self.high}"


class _Flag:
    """A flag, which stands for a keyword-only parameter of a command."""

    __slots__ = ("name", "type", "bounds")

    def __init__(self, name: str, hint: Any) -> None:
        self.name = name
        self.bounds: Range | None = None
        if typing.get_origin(hint) is typing.Annotated:
            hint, *extras = typing.get_args(hint)
            ranges = [extra for extra in extras if isinstance(extra, Range)]
            self.bounds = ranges[0] if ranges else None
        self.type = _strip_optional(hint)

    @property
    def option(self) -> str:
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        return VARIABLE_PREFIX + self.name.upper()

    @property
    def allowed(self) -> str:
        if self.bounds is not None:
            return str(self.bounds)
        return _describe_type(self.type)

    def check_bounds(self, source: str, value: Any) -> None:
        """Raises SettingsError if a number is out of bounds.

        `source` is the flag or variable that set the value.
        """
        if self.bounds is None or value is None:
            return
        for number in value if isinstance(value, list) else [value]:
            if number not in self.bounds:
                raise _setting_error(source, number, self.allowed)

    def parse_variable(self, text: str) -> Any:
        """Returns the value that the text of the environment variable states.

        Raises:
            SettingsError: The value is malformed or out of bounds.
        """
        try:
            value = _parse_value(self.type, text)
        except (ValueError, KeyError) as exc:
            raise _setting_error(self.variable, text, self.allowed) from exc
        self.check_bounds(self.variable, value)
        return value


def run_program(
    name: str,
    commands: _Command | Mapping[str, _Command],
    *,
    argv: Sequence[str] | None = None,
    environ: Mapping[str, str] | None = None,
    fault_meaning: str = "the run found a fault",
    variables: bool = True,
) -> int:
    """Runs a program and returns its exit code.

    Args:
        name: Name of the program in its messages.
        commands: The function to run, or the functions by name of the
            subcommand. A function returns an exit code, or None for
            `EXIT_DONE`. If it raises a SettingsError, the exit code is
            `EXIT_USAGE`.
        argv: Arguments without the program name; default `sys.argv[1:]`.
        environ: Environment variables; default `os.environ`.
        fault_meaning: What the program's help says about `EXIT_FAULT`.
        variables: Whether environment variables can set flags; if not, the
            environment is ignored.

    Returns:
        `EXIT_DONE`, `EXIT_FAULT` or `EXIT_USAGE`.
    """
    argv = list(sys.argv[1:] if argv is None else argv)
    environ = os.environ if environ is None else environ
    environ = environ if variables else {}
    commands_by_name = {"": commands} if callable(commands) else dict(commands)
    flags = {
        key: _find_flags(command) for key, command in commands_by_name.items()
    }
    try:
        _reject_unknown_variables(environ, flags)
        _reject_unknown_flags(argv, flags)
        bound_commands = {
            key: _bind_command(command, flags[key], environ)
            for key, command in commands_by_name.items()
        }
        code = defopt.run(
            bound_commands[""] if callable(commands) else bound_commands,
            argv=argv,
            version=applespring.__version__,
            short={},
            argparse_kwargs={
                "prog": name,
                "epilog": _describe_program(
                    flags if variables else {}, fault_meaning
                ),
            },
        )
    except SettingsError as exc:
        print(f"{name}: {exc}", file=sys.stderr)
        return EXIT_USAGE
    except SystemExit as exc:
        if exc.code is None or isinstance(exc.code, int):
            return exc.code or EXIT_DONE
        print(f"{name}: {exc.code}", file=sys.stderr)
        return EXIT_USAGE
    return EXIT_DONE if code is None else code


def _setting_error(source: str, value: Any, allowed: str) -> SettingsError:
    return SettingsError(f"{source}={value} is not allowed; allowed: {allowed}")


def _strip_optional(hint: Any) -> Any:
    if typing.get_origin(hint) in (typing.Union, types.UnionType):
        members = [m for m in typing.get_args(hint) if m is not type(None)]
        return members[0]
    return hint


def _describe_type(kind: Any) -> str:
    if typing.get_origin(kind) in (list, Sequence):
        return f"{_describe_type(typing.get_args(kind)[0])}, comma-separated"
    if typing.get_origin(kind) is typing.Literal:
        return ", ".join(str(choice) for choice in typing.get_args(kind))
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return ", ".join(member.name for member in kind)
    names = {bool: "true, false", int: "an integer", float: "a number"}
    return names.get(kind, "any text")


def _parse_value(kind: Any, text: str) -> Any:
    if typing.get_origin(kind) in (list, Sequence):
        item = typing.get_args(kind)[0]
        return [_parse_value(item, part.strip()) for part in text.split(",")]
    if typing.get_origin(kind) is typing.Literal:
        choices = {str(choice): choice for choice in typing.get_args(kind)}
        return choices[text]
    if kind is bool:
        return _BOOL_BY_TEXT[text.lower()]
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return kind[text]
    if kind in (int, float, pathlib.Path):
        return kind(text)
    return text


def _find_flags(command: _Command) -> list[_Flag]:
    hints = typing.get_type_hints(command, include_extras=True)
    parameters = inspect.signature(command).parameters.values()
    return [
        _Flag(parameter.name, hints[parameter.name])
        for parameter in parameters
        if parameter.kind is parameter.KEYWORD_ONLY
    ]


def _reject_unknown_variables(
    environ: Mapping[str, str], flags: Mapping[str, Sequence[_Flag]]
) -> None:
    known = {flag.variable for group in flags.values() for flag in group}
    allowed = ", ".join(sorted(known)) or "no variable"
    for variable in sorted(environ):
        if variable.startswith(VARIABLE_PREFIX) and variable not in known:
            raise _setting_error(variable, environ[variable], allowed)


def _reject_unknown_flags(
    argv: Sequence[str], flags: Mapping[str, Sequence[_Flag]]
) -> None:
    """Rejects unknown flags and abbreviations, which argparse would accept.

    Raises:
        SettingsError: There is one.
    """
    command = next((word for word in argv if word in flags), "")
    known = {"--help", "--version"}
    for flag in flags.get(command, ()):
        known.add(flag.option)
        if flag.type is bool:
            known.add("--no-" + flag.option.removeprefix("--"))
    for word in argv:
        if word == "--":
            return
        if word.startswith("--") and word.partition("=")[0] not in known:
            allowed = ", ".join(sorted(known))
            raise SettingsError(f"{word} is not a flag; allowed: {allowed}")


def _bind_command(
    command: _Command, flags: Sequence[_Flag], environ: Mapping[str, str]
) -> _Command:
    """Returns a wrapper with defaults from variables that checks the bounds."""
    defaults = {
        flag.name: flag.parse_variable(environ[flag.variable])
        for flag in flags
        if flag.variable in environ
    }

    @functools.wraps(command)
    def run_command(*args: Any, **kwargs: Any) -> int | None:
        for flag in flags:
            flag.check_bounds(flag.option, kwargs.get(flag.name))
        return command(*args, **kwargs)

    signature = inspect.signature(command)
    parameters = [
        parameter.replace(default=defaults[parameter.name])
        if parameter.name in defaults
        else parameter
        for parameter in signature.parameters.values()
    ]
    run_command.__signature__ = signature.replace(parameters=parameters)
    return run_command


def _describe_program(
    flags: Mapping[str, Sequence[_Flag]], fault_meaning: str
) -> str:
    lines = ["environment variables (a flag overrides its variable):"]
    described = set()
    for group in flags.values():
        for flag in group:
            if flag.variable not in described:
                lines.append(f"  {flag.variable}: {flag.allowed}")
            described.add(flag.variable)
    if not described:
        lines.append("  none")
    lines += [
        "",
        "exit codes:",
        f"  {EXIT_DONE}  done",
        f"  {EXIT_FAULT}  {fault_meaning}",
        f"  {EXIT_USAGE}  wrong usage",
    ]
    return "\n".join(lines).replace("%", "%%")
