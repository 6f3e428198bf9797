"""Model checking of permits."""

import pytest

from chicorybridge.tools.permit_specifications import PermitSpecification
from chicorybridge.tools.permit_worlds import BrokenPermit
from chicorybridge.tools.specifications import check


def test_floor_is_kept_in_every_state():
    """No loss, duplicate, silence or restart ejects too much."""
    report = check(PermitSpecification(contacts=1, serials=2).build())
    assert report.holds
    assert report.states > 1000


@pytest.mark.long
@pytest.mark.parametrize(
    'specification',
    [
        PermitSpecification(contacts=2, serials=1),
        PermitSpecification(contacts=1, serials=1, budget=2),
        PermitSpecification(hosts=3, contacts=1, serials=1),
    ],
)
def test_floor_is_kept_in_larger_worlds(specification):
    """The same with more hosts, slots, silences and loans."""
    assert check(specification.build()).holds


@pytest.mark.parametrize('broken', list(BrokenPermit))
def test_broken_variant_is_caught(broken):
    """Each safeguard is needed to keep the floor."""
    report = check(PermitSpecification(broken=broken).build())
    assert report.holds is False
