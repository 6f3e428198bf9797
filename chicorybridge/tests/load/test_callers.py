"""Tests of caller hosts: outcomes, retries, entry lists and keys."""

import hashlib
import json
import random
from types import MappingProxyType

import pytest

from chicorybridge.common.clocks import Clock
from chicorybridge.http.servers import Response
from chicorybridge.load.callers import CallerHost, CallOutcome, classify_answer
from chicorybridge.load.experiments import CallerGroup, RequestKind, Via
from chicorybridge.tests.serving import serving

ECHO = json.dumps({'request': 'r-1', 'sha256': 'd'}).encode()
DIGEST = MappingProxyType(
    {'chicorybridge-digest': hashlib.sha256(ECHO).hexdigest()}
)
NOT_RUN = MappingProxyType({'chicorybridge-outcome': 'not-run'})


@pytest.mark.parametrize(
    ('response', 'outcome'),
    [
        (Response(status=200, headers_by_name=DIGEST, body=ECHO), 'whole'),
        (Response(status=200, headers_by_name=DIGEST, body=ECHO[1:]), None),
        (Response(status=200, body=ECHO), 'mismatched'),
        (Response(status=503, headers_by_name=NOT_RUN), 'not_run'),
        (
            Response(
                status=502,
                headers_by_name={'chicorybridge-outcome': 'unknown'},
            ),
            'unknown',
        ),
        (Response(status=500), 'failed'),
        (Response(status=404), 'refused'),
    ],
)
def test_outcome_of_an_answer(response, outcome):
    """Damage is detected; an outcome header sets the outcome."""
    expected = CallOutcome(outcome or 'mismatched')
    assert classify_answer(response, name='r-1', digest='d') is expected


def test_answer_to_another_request_is_mismatched():
    """An undamaged answer that echoes another request name is mismatched."""
    response = Response(status=200, headers_by_name=DIGEST, body=ECHO)
    outcome = classify_answer(response, name='r-2', digest='d')
    assert outcome is CallOutcome.mismatched


def _host(address, **options):
    group = CallerGroup(
        name='noord', to=(), requests=(), repeat_after_ms=1, **options
    )
    return CallerHost(
        name='noord-0',
        group=group,
        addresses=(str(address),),
        clock=Clock(),
        rng=random.Random(1),
    )


@pytest.mark.parametrize(
    ('kind', 'headers', 'attempts'),
    [
        (RequestKind(name='book', method='POST'), {}, 1),
        (RequestKind(name='book', method='POST'), NOT_RUN, 3),
        (RequestKind(name='accept', method='POST', keyed=True), {}, 3),
        (RequestKind(name='read'), {}, 3),
    ],
)
async def test_only_safe_requests_are_retried(kind, headers, attempts):
    """A POST without a key that may have run is never sent again."""

    async def fail(connection, request):  # noqa: WPS430
        await connection.respond(Response(status=500, headers_by_name=headers))

    async with serving(fail) as address:
        host = _host(address, repeats=2)
        call = await host.call(await host.prepare(kind, number=1))
        await host.close()
    assert len(call.outcomes) == attempts


async def test_entry_list_is_fetched_once_until_it_expires():
    """Calls go to the listed address without another fetch of the list."""
    paths = []

    async def answer(connection, request):  # noqa: WPS430
        paths.append(request.path)
        await connection.respond(Response(status=404))

    async def entries(connection, request):  # noqa: WPS430
        paths.append(request.path)
        document = {'entries': [str(listed)], 'ttl_ms': 60_000, 'version': 1}
        body = json.dumps(document).encode()
        await connection.respond(Response(status=200, body=body))

    async with serving(answer) as listed, serving(entries) as entry:
        host = _host(entry, via=Via.entries)
        prepared = await host.prepare(RequestKind(name='read'), number=1)
        await host.call(prepared)
        await host.call(prepared)
        await host.close()
    assert paths == ['/chicorybridge/entries', '/', '/']


@pytest.mark.parametrize('issued', [True, False])
async def test_keys_start_with_the_issued_prefix(issued):
    """Only a group with `issued_keys` uses the prefix of the entry list."""

    async def entries(connection, request):  # noqa: WPS430
        document = {
            'entries': ['127.0.0.1:1'],
            'ttl_ms': 60_000,
            'key_prefix': 'cb1/host/',
        }
        body = json.dumps(document).encode()
        await connection.respond(Response(status=200, body=body))

    kind = RequestKind(name='accept', method='POST', keyed=True)
    async with serving(entries) as entry:
        host = _host(entry, via=Via.entries, issued_keys=issued)
        prepared = await host.prepare(kind, number=1)
        await host.close()
    assert prepared.key.startswith('cb1/host/') is issued
    assert prepared.key.endswith(prepared.name)
