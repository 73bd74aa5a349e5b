"""Tests of the configuration lease and the configuration held under it."""

import pytest

from papayalink.coordination import lease as leases
from papayalink.state import document as documents
from papayalink.state import errors
from papayalink.state import held_configuration

DOCUMENT = documents.Document(models=(documents.Model("m", "v1"),))
DATA = documents.encode(DOCUMENT)
DIGEST = documents.digest(DOCUMENT)


@pytest.mark.parametrize(
    "confirmed, now, valid",
    [
        ([], 0.0, False),
        ([10.0], 12.9, True),
        ([10.0], 13.0, False),
        # A process that was frozen finds its lease expired.
        ([10.0], 300.0, False),
        # A late confirmation of an earlier poll does not extend the lease.
        ([12.0, 10.0], 14.9, True),
        ([12.0, 10.0], 15.0, False),
    ],
)
def test_lease_starts_when_the_poll_is_sent(confirmed, now, valid):
    """Guards against work accepted under an outdated configuration."""
    lease = leases.make_lease()
    for sent_at in confirmed:
        lease.confirm(sent_at)
    assert lease.valid(now) is valid


def test_older_version_is_refused():
    """Guards against a configuration that reverts."""
    holder = held_configuration.make_held_configuration()
    assert holder.update(2, DATA, b"", DIGEST)
    with pytest.raises(errors.VersionWentBack):
        holder.update(1, DATA, b"", DIGEST)
    assert holder.version == 2


def test_document_of_another_digest_is_refused():
    """Guards against processes that hold different documents."""
    holder = held_configuration.make_held_configuration()
    with pytest.raises(errors.DigestMismatch):
        holder.update(1, DATA, b"", "0" * 32)
    assert holder.version == 0
    # The next poll carries no digest, so it is answered with the document.
    assert holder.digest == ""
    assert holder.update(1, DATA, b"", DIGEST)


def test_same_version_is_confirmed_without_a_document():
    holder = held_configuration.make_held_configuration()
    holder.update(1, DATA, b"", DIGEST)
    assert not holder.update(1, b"", b"", DIGEST)
