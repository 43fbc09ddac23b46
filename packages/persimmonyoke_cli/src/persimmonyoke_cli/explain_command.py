"""Command that traces one request through the logs of entry hosts."""

from pathlib import Path

from persimmonyoke.internal.observability.explain import explain as explain_request
from persimmonyoke_cli.failures import CommandFailed, UsageError


def explain(request_id: str, logs: list[Path]) -> None:
    """Print the log lines of a request in order, with fleet events around that time.

    :param request_id: request id that the client sent
    :param logs: log files of one or more entry hosts
    """
    if not logs:
        raise UsageError("name at least one log file")
    texts: list[str] = []
    for path in logs:
        try:
            texts.extend(path.read_text("utf-8", "replace").splitlines())
        except OSError as error:
            raise UsageError(f"{path} can't be read: {error}") from error
    lines = explain_request(request_id, texts)
    if not lines:
        raise CommandFailed(f"no line of request {request_id} in {len(logs)} files")
    for line in lines:
        print(line)
