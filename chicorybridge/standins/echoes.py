"""Answers of a target stand-in that tell which request they belong to."""

import dataclasses
import hashlib
import math
from collections.abc import Iterable, Mapping
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs, urlsplit

from chicorybridge.http.servers import Request, Response
from chicorybridge.storage.documents import (
    CONTENT_TYPE_HEADER,
    JSON_TYPE,
    encode_document,
)

# Headers of callers, in lower case as they arrive.
IDEMPOTENCY_KEY = 'idempotency-key'
REQUEST_ID = 'chicorybridge-request'

# SHA-256 of the answer's body.
DIGEST_HEADER = 'Chicorybridge-Digest'

FILLER = b'.'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Upload:
    """A request body as it was received."""

    digest: str
    size: int


def make_echo(
    request: Request,
    upload: Upload,
    *,
    status: int,
    origin: Mapping[str, str],
    headers: Iterable[tuple[str, str]],
) -> Response:
    """Return the answer that tells the request it belongs to.

    `origin` names who answers. The query `bytes=N` fills the body up to
    N bytes.
    """
    document = encode_document(
        {
            **origin,
            'request': request.headers_by_name.get(REQUEST_ID, ''),
            'key': request.headers_by_name.get(IDEMPOTENCY_KEY, ''),
            'path': request.path,
            'sha256': upload.digest,
            'bytes': upload.size,
        }
    )
    query = parse_qs(urlsplit(request.path).query)
    size = int(read_number(query.get('bytes', [None])[0], 0))
    body = document.ljust(size, FILLER)
    headers_by_name = dict(headers)
    headers_by_name[CONTENT_TYPE_HEADER] = 'application/octet-stream'
    headers_by_name[DIGEST_HEADER] = hashlib.sha256(body).hexdigest()
    return Response(status=status, headers_by_name=headers_by_name, body=body)


def read_number(text: str | None, default: float) -> float:
    """Read a number from a caller, who may send anything."""
    try:
        number = float(text or default)
    except ValueError:
        return default
    return number if math.isfinite(number) else default


def make_document(
    document: Any,
    *,
    status: int = HTTPStatus.OK,
    headers: Iterable[tuple[str, str]] = (),
) -> Response:
    """Return an answer with a JSON document."""
    headers_by_name = dict(headers)
    headers_by_name[CONTENT_TYPE_HEADER] = JSON_TYPE
    return Response(
        status=status,
        headers_by_name=headers_by_name,
        body=encode_document(document),
    )
