"""Failures inside a host, told and turned into answers to callers."""

import contextlib
from collections.abc import Callable, Iterator

from chicorybridge.common.errors import ErrorCode, RequestError
from chicorybridge.entry.answers import BufferedAnswer
from chicorybridge.http.bodies import CallerError
from chicorybridge.http.caller_exchanges import CallerExchange
from chicorybridge.http.exchanges import ExchangeError


@contextlib.contextmanager
def wrap_unexpected_errors(
    log_error: Callable[[Exception], None],
) -> Iterator[None]:
    """Raise `RequestError` in place of an error that nobody foresaw.

    `log_error` is given the error itself; callers learn only that it happened.
    """
    try:
        yield
    except (CallerError, RequestError):
        raise
    except Exception as error:
        log_error(error)
        raise RequestError(
            code=ErrorCode.host_failed,
            detail='the host failed on this request',
        ) from error


async def send_buffered(
    exchange: CallerExchange, answer: BufferedAnswer
) -> None:
    """Send a whole answer; raise `CallerError` if the caller is gone.

    An answer that HTTP has no form for raises `ExchangeError`; nothing is
    sent of it, so that another one can be.
    """
    try:
        await exchange.answer(
            status=answer.status, headers=answer.headers, body=answer.body
        )
    except ExchangeError as error:
        if not exchange.answered:
            raise
        raise CallerError(code=error.code, detail=error.detail) from error
