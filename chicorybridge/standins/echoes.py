"""Answers of a target stand-in that identify their request."""

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

# Request headers, in lower case as the server returns them.
IDEMPOTENCY_KEY_HEADER = 'idempotency-key'
REQUEST_ID_HEADER = 'chicorybridge-request'

# SHA-256 of the body of the answer.
DIGEST_HEADER = 'Chicorybridge-Digest'

FILLER = b'.'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Upload:
    """SHA-256 digest and size in bytes of a received request body."""

    digest: str
    size: int


def make_echo(
    request: Request,
    upload: Upload,
    *,
    status: int,
    target_identity: Mapping[str, str],
    headers: Iterable[tuple[str, str]],
) -> Response:
    """Return an answer whose body identifies its request.

    `target_identity` is included in the body. The query `bytes=N` pads the
    body to N bytes.
    """
    document = encode_document(
        {
            **target_identity,
            'request': request.headers_by_name.get(REQUEST_ID_HEADER, ''),
            'key': request.headers_by_name.get(IDEMPOTENCY_KEY_HEADER, ''),
            'path': request.path,
            'sha256': upload.digest,
            'bytes': upload.size,
        }
    )
    query = parse_qs(urlsplit(request.path).query)
    size = int(parse_number(query.get('bytes', [None])[0], 0))
    body = document.ljust(size, FILLER)
    headers_by_name = dict(headers)
    headers_by_name[CONTENT_TYPE_HEADER] = 'application/octet-stream'
    headers_by_name[DIGEST_HEADER] = hashlib.sha256(body).hexdigest()
    return Response(status=status, headers_by_name=headers_by_name, body=body)


def parse_number(text: str | None, default: float) -> float:
    """Return the number in `text`, or `default` if it is not finite."""
    try:
        number = float(text or default)
    except ValueError:
        return default
    return number if math.isfinite(number) else default


def make_json_answer(
    document: Any,
    *,
    status: int = HTTPStatus.OK,
    headers: Iterable[tuple[str, str]] = (),
) -> Response:
    """Return an answer with `document` as its JSON body."""
    headers_by_name = dict(headers)
    headers_by_name[CONTENT_TYPE_HEADER] = JSON_TYPE
    return Response(
        status=status,
        headers_by_name=headers_by_name,
        body=encode_document(document),
    )
