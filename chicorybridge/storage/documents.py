"""HTTP requests and JSON documents of the interface of the platform.

`docs/platform.md` describes the interface. The client encodes requests and
decodes replies; the stand-in for the platform decodes requests and encodes
replies.
"""

import json
from typing import Any
from urllib.parse import quote, urlencode

from chicorybridge.common.identities import HostId
from chicorybridge.http.servers import Request
from chicorybridge.storage.stores import (
    Condition,
    GetObject,
    HostState,
    ListedHost,
    ListHosts,
    PutObject,
    ReadRows,
    Row,
    RowKey,
    ScanRows,
    StoreRequest,
    Transact,
    Write,
)

TRANSACTIONS_PATH = '/v1/transactions'
READS_PATH = '/v1/reads'
TABLES_PATH = '/v1/tables/'
OBJECTS_PATH = '/v1/objects/'
HOSTS_PATH = '/v1/hosts'
# Only the stand-in serves these two: the faults that it emulates (its knobs),
# and the counts of requests.
KNOBS_PATH = '/v1/knobs'
COUNTS_PATH = '/v1/counts'

# Id of the sending host; the stand-in can fail requests of single hosts.
HOST_HEADER = 'Chicorybridge-Host'

JSON_TYPE = 'application/json'
BINARY_TYPE = 'application/octet-stream'
CONTENT_TYPE_HEADER = 'Content-Type'


def encode_request(request: StoreRequest, *, host_id: HostId) -> Request:
    """Return the HTTP request for a store request."""
    match request:
        case Transact():
            document = encode_transaction(request)
            return _post(TRANSACTIONS_PATH, document, host_id)
        case ReadRows():
            document = {'keys': [_encode_key(key) for key in request.row_keys]}
            return _post(READS_PATH, document, host_id)
        case ScanRows():
            table = quote(request.table, safe='')
            query = urlencode({'prefix': request.prefix})
            return _get(f'{TABLES_PATH}{table}?{query}', host_id)
        case PutObject():
            return Request(
                method='PUT',
                path=f'{OBJECTS_PATH}{request.digest}',
                headers_by_name={
                    CONTENT_TYPE_HEADER: BINARY_TYPE,
                    HOST_HEADER: host_id,
                },
                body=request.body,
            )
        case GetObject():
            return _get(f'{OBJECTS_PATH}{request.digest}', host_id)
        case ListHosts():
            return _get(HOSTS_PATH, host_id)


def encode_host(host: ListedHost) -> Request:
    """Return the HTTP request that registers or renews a host."""
    return _post(HOSTS_PATH, _host_document(host), host.host_id)


def encode_transaction(request: Transact) -> dict[str, Any]:
    """Return a transaction as a JSON document."""
    return {
        'conditions': [
            _encode_key(condition.row_key) | {'version': condition.version}
            for condition in request.conditions
        ],
        'writes': [
            _encode_key(write.row_key) | {'body': write.body}
            for write in request.writes
        ],
    }


def decode_transaction(document: dict[str, Any]) -> Transact:
    """Decode a transaction; raise `KeyError` or `TypeError` if malformed."""
    return Transact(
        conditions=tuple(
            Condition(row_key=_decode_key(item), version=item['version'])
            for item in document['conditions']
        ),
        writes=tuple(
            Write(row_key=_decode_key(item), body=item['body'])
            for item in document['writes']
        ),
    )


def decode_reads(document: dict[str, Any]) -> ReadRows:
    """Decode a request to read rows by key."""
    return ReadRows(
        row_keys=tuple(_decode_key(item) for item in document['keys'])
    )


def encode_rows(rows: tuple[Row, ...]) -> dict[str, Any]:
    """Return rows as a JSON document."""
    return {
        'rows': [
            _encode_key(row.row_key)
            | {'version': row.version, 'body': row.body}
            for row in rows
        ],
    }


def decode_rows(document: dict[str, Any]) -> tuple[Row, ...]:
    """Decode the rows of a reply."""
    return tuple(
        Row(
            row_key=_decode_key(item),
            version=item['version'],
            body=item['body'],
        )
        for item in document['rows']
    )


def encode_hosts(hosts: tuple[ListedHost, ...]) -> dict[str, Any]:
    """Return the host list as a JSON document."""
    return {'hosts': [_host_document(host) for host in hosts]}


def decode_hosts(document: dict[str, Any]) -> tuple[ListedHost, ...]:
    """Decode the host list of a reply."""
    return tuple(decode_host(item) for item in document['hosts'])


def decode_host(document: dict[str, Any]) -> ListedHost:
    """Decode one host of the host list."""
    return ListedHost(
        host_id=HostId(document['host_id']),
        address=document['address'],
        state=HostState(document['state']),
    )


def encode_document(document: Any) -> bytes:
    """Return a document as compact JSON in UTF-8."""
    return json.dumps(document, separators=(',', ':')).encode()


def _encode_key(row_key: RowKey) -> dict[str, Any]:
    return {'table': row_key.table, 'key': row_key.key}


def _decode_key(document: dict[str, Any]) -> RowKey:
    return RowKey(table=document['table'], key=document['key'])


def _host_document(host: ListedHost) -> dict[str, Any]:
    return {
        'host_id': host.host_id,
        'address': host.address,
        'state': host.state.value,
    }


def _post(path: str, document: Any, host_id: HostId) -> Request:
    return Request(
        method='POST',
        path=path,
        headers_by_name={CONTENT_TYPE_HEADER: JSON_TYPE, HOST_HEADER: host_id},
        body=encode_document(document),
    )


def _get(path: str, host_id: HostId) -> Request:
    return Request(
        method='GET', path=path, headers_by_name={HOST_HEADER: host_id}
    )
