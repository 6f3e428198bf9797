"""Unexpected errors while answering, converted to errors for callers."""

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
    """Raise `RequestError` in place of an unexpected error.

    `log_error` is called with the error itself; the answer to the caller
    gives no details of it.
    """
    try:
        yield
    except (CallerError, RequestError):
        raise
    except Exception as error:
        log_error(error)
        raise RequestError(
            code=ErrorCode.host_failed,
            detail='unexpected error inside the host',
        ) from error


async def send_buffered(
    exchange: CallerExchange, answer: BufferedAnswer
) -> None:
    """Send a buffered answer; raise `CallerError` if the caller is gone.

    An answer that is not valid HTTP raises `ExchangeError` before anything
    is sent, so that another answer can be sent instead.
    """
    try:
        await exchange.answer(
            status=answer.status, headers=answer.headers, body=answer.body
        )
    except ExchangeError as error:
        if not exchange.answer_started:
            raise
        raise CallerError(code=error.code, detail=error.detail) from error
