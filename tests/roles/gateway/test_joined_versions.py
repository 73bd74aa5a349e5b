"""Tests of streams while replicas of two software versions serve."""

import pytest

from tests.roles.gateway import sites


def _begin(site, call_id="first", number=0, entry=0):
    """Let a stream break off after its first event at a replica.

    Args:
        number: number of the replica, the first one by default.
        entry: number of the entry.

    Returns: software version of the replica that began it.
    """
    first = site.replicas[number]
    for replica in site.replicas:
        replica.breaks_after = 0
    first.breaks_after = 1
    _use_only(site, first)
    status, versions, whole = site.entries[entry].stream(call_id)
    assert (status, versions, whole) == (200, [first.software], False)
    _use_only(site, *site.replicas)
    for replica in site.replicas:
        replica.breaks_after = None
    return first.software


def _use_only(site, *replicas):
    """Let new calls go to some of the replicas, as if the rest were full."""
    for entry in site.entries:
        for member in entry.fleet.all_members():
            used = member.replica.replica_id in {
                each.name for each in replicas
            }
            member.set_reachable(used)


@pytest.mark.parametrize(
    ("others", "whole"),
    [(["v2"] * 4, False), (["v2", "v2", "v2", "v1"], True)],
    ids=["no-other", "one-other"],
)
def test_stream_goes_on_only_at_its_version_within_an_answer(
    start_site, others, whole
):
    """Guards against answers joined from two software versions."""
    for _ in range(4):
        site = start_site(software=("v1", *others))
        site.replicas[0].breaks_after = 1
        answers = [site.entries[0].stream(f"c{each}") for each in range(4)]
        for status, versions, was_whole in answers:
            assert status == 200
            assert len(set(versions)) == 1
            assert was_whole or (not whole and versions == ["v1"])


@pytest.mark.parametrize(
    "change",
    [
        None,
        sites.Site.replace_member,
        sites.Site.replace_entry,
    ],
    ids=["calm", "new-leader", "restarted-entry"],
)
def test_take_up_at_another_entry_goes_on_at_the_same_version(
    start_site, change
):
    """Guards against take-ups joined from two software versions."""
    site = start_site(
        software=(
            "v1",
            "v2",
            "v2",
            "v2",
            "v1",
        )
    )
    assert _begin(site) == "v1"
    site.settle()
    if change is not None:
        change(site)
        site.settle()
    for number, entry in enumerate(site.entries * 3):
        answer = entry.stream(f"again{number}", 1, "first")
        assert answer == (200, ["v1"] * 3, True)


def test_take_up_whose_version_has_left_is_refused(start_site):
    site = start_site(
        software=(
            "v1",
            "v2",
            "v2",
        )
    )
    _begin(site)
    site.settle()
    site.remove(site.replicas[0])
    for entry in site.entries:
        assert entry.stream("again", 1, "first")[0] == 503


def _lose_all(site):
    """Let all entries and the member start again without what they knew."""
    site.replace_member()
    for entry in site.entries:
        entry.stop_serving()
    site.entries = [sites.Entry(site, f"e{each}") for each in range(2)]


@pytest.mark.parametrize("versions", [("v1", "v2"), ("v1", "v1", "v2")])
def test_take_up_of_an_unknown_stream_is_refused_beside_two_versions(
    start_site, versions
):
    """Guards against an unknown version that counts as any version."""
    site = start_site(software=versions)
    _begin(site)
    _lose_all(site)
    site.settle()
    for number, entry in enumerate(site.entries * 4):
        assert entry.stream(f"again{number}", 1, "first")[0] == 503


def test_take_up_of_an_unknown_stream_is_refused_if_a_version_just_left(
    start_site,
):
    """The stream may have begun at the version that has left."""
    site = start_site(
        software=(
            "v1",
            "v2",
            "v2",
        )
    )
    _begin(site, "first")
    site.remove(site.replicas[0])
    for entry in site.entries:
        assert entry.stream("again", 1, "unheard")[0] == 503


def test_take_up_of_an_unknown_stream_goes_on_where_one_version_serves(
    start_site,
):
    site = start_site(
        software=(
            "v1",
            "v1",
            "v1",
        )
    )
    site.observe_for_long()
    for entry in site.entries:
        answer = entry.stream("again", 1, "unheard")
        assert answer == (200, ["v1"] * 3, True)


def test_new_streams_begin_at_any_version(start_site):
    site = start_site(
        software=(
            "v1",
            "v2",
            "v1",
            "v2",
        )
    )
    begun = set()
    for number in range(20):
        status, versions, whole = site.entries[number % 2].stream(f"c{number}")
        assert (status, whole, len(set(versions))) == (200, True, 1)
        begun.add(versions[0])
    assert begun == {"v1", "v2"}


def _release(site, skip_time, behind=None):
    """Let three seconds pass after a replica with v2 was listed.

    Args:
        behind: entry that does not learn of it.
    """
    site.start_replica("v2")
    for _ in range(6):
        for entry in site.entries:
            if entry is not behind:
                entry.read_list()
                entry.exchange()
            elif entry.cut_off:
                entry.exchange()
        skip_time(0.5)


@pytest.mark.parametrize("cut_off", [True, False], ids=["cut-off", "stopped"])
def test_entry_out_of_step_refuses_streams_of_a_version_it_has_not_heard_of(
    start_site, skip_time, cut_off
):
    """Guards against a record of versions that is old and counts as new."""
    site = start_site(software=("v1",) * 3)
    site.observe_for_long()
    behind = site.entries[0]
    behind.cut_off = cut_off
    _release(site, skip_time, behind)
    assert _begin(site, number=-1, entry=1) == "v2"
    assert behind.stream("again", 1, "first")[0] == 503


def test_entry_that_was_stopped_asks_where_a_stream_began(
    start_site, skip_time
):
    """Guards against a record of versions that is old and counts as new."""
    site = start_site(software=("v1",) * 3)
    site.observe_for_long()
    behind, entry = site.entries
    _release(site, skip_time, behind)
    assert _begin(site, number=-1, entry=1) == "v2"
    entry.exchange()
    behind.read_list()
    assert behind.stream("again", 1, "first") == (200, ["v2"] * 3, True)


# Replicas are sampled. With one of four that has a version, 12 streams miss it
# in 3 of 100 runs, and 60 in 3 of 100 million.
_STREAMS = 60


def _begun_versions(entry, name):
    """Returns: the versions at which the entry begins streams."""
    return {
        entry.stream(f"{name}{number}")[1][0] for number in range(_STREAMS)
    }


def test_streams_begin_at_a_new_version_once_all_entries_know_it(
    start_site, skip_stopped_time
):
    """Guards against streams of versions that other entries cannot know."""
    site = start_site(software=("v1",) * 3)
    site.observe_for_long()
    for _ in range(6):
        skip_stopped_time(0.5)
        site.settle()
    site.start_replica("v2")
    entry = site.entries[1]
    entry.read_list()
    assert _begun_versions(entry, "a") == {"v1"}
    entry.exchange()
    skip_stopped_time(1.0)
    entry.read_list()
    assert _begun_versions(entry, "b") == {"v1"}
    for _ in range(3):
        skip_stopped_time(0.5)
        entry.read_list()
        entry.exchange()
    assert _begun_versions(entry, "c") == {"v1", "v2"}


def test_new_version_begins_streams_at_once_where_no_other_is_left(
    start_site, skip_time
):
    site = start_site(software=("v1",) * 2)
    skip_time(3.0)
    site.start_replica("v2")
    site.settle()
    for replica in site.replicas[:2]:
        site.remove(replica)
    assert _begun_versions(site.entries[0], "a") == {"v2"}
