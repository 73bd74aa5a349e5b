"""Tests of the choice of stores for fetches and saves."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from papayalink.coordination import cache_placement
from papayalink.protocol import calls
from papayalink.state import part_directory
from papayalink.state import traffic

_PARTS = (calls.Part("a", 600), calls.Part("b", 5000), calls.Part("c", 1700))
_FAST = traffic.CacheStore(
    name="fast",
    address="f:1",
    zone="z1",
    capacity_tokens=107_000,
    link_mbps=1e5,
    first_ms=0.5,
    max_calls=12,
)
_LARGE = traffic.CacheStore(
    name="large",
    address="l:1",
    zone="z1",
    capacity_tokens=1_270_000,
    link_mbps=29e3,
    first_ms=6.0,
    max_calls=12,
)


def _placement(*changes, stores=(_FAST, _LARGE)):
    directory = part_directory.make_part_directory()
    directory.apply(changes)
    placement = cache_placement.make_cache_placement("z1", directory)
    placement.set_stores(stores)
    return placement


def _changes_for(store, *part_ids, salt="s"):
    sizes = {part.part_id: part.tokens for part in _PARTS}
    return [
        part_directory.Change(
            store, part_directory.part_key(salt, each), sizes[each]
        )
        for each in part_ids
    ]


def test_new_parts_are_saved_by_size_and_the_last_is_not():
    plan = _placement().plan("s", _PARTS, "z1", 0.0)
    assert plan.fetch_addresses == ("", "", "")
    assert plan.save_addresses == ("f:1", "l:1", "")


def test_whole_parts_are_fetched_and_not_saved_again():
    placement = _placement(*_changes_for("large", "a", "b"))
    plan = placement.plan("s", _PARTS, "z1", 0.0)
    assert plan.fetch_addresses == ("l:1", "l:1", "")
    assert plan.save_addresses == ("", "", "")
    assert plan.fetched_tokens == 5600
    assert placement.fetched_tokens("s", _PARTS) == 5600


def test_part_behind_one_that_no_store_holds_is_fetched():
    # The first part is shared by many prompts and stays at the replicas,
    # which save only parts that they had to compute.
    plan = _placement(*_changes_for("large", "b")).plan("s", _PARTS, "z1", 0.0)
    assert plan.fetch_addresses == ("", "l:1", "")
    assert plan.save_addresses == ("f:1", "", "")


def test_other_salts_are_not_found():
    # The salt differs for another weight version or an isolated workspace.
    placement = _placement(*_changes_for("large", "a", "b", salt="other"))
    assert placement.plan("s", _PARTS, "z1", 0.0).fetched_tokens == 0


def test_incomplete_copy_is_not_fetched():
    key = part_directory.part_key("s", "a")
    placement = _placement(part_directory.Change("fast", key, 599))
    assert placement.plan("s", _PARTS, "z1", 0.0).fetch_addresses[0] == ""


def test_pending_part_is_not_saved_again_before_its_timeout():
    placement = _placement()
    placement.plan("s", _PARTS, "z1", 0.0)
    assert placement.plan("s", _PARTS, "z1", 1.0).save_addresses == (
        "",
        "",
        "",
    )
    later = cache_placement.PENDING_SAVE_TIMEOUT_S + 0.1
    assert placement.plan("s", _PARTS, "z1", later).save_addresses[0] == "f:1"


@pytest.mark.parametrize(
    ("tokens", "address"),
    [(600, "f:1"), (1_400, "f:1"), (5_000, "l:1"), (13_300, "l:1")],
)
def test_long_sessions_are_saved(tokens, address):
    # Computing a long session costs as much as twenty short ones.
    parts = (calls.Part("x", tokens), calls.Part("c", 1700))
    assert (
        _placement().plan("s", parts, "z1", 0.0).save_addresses[0] == address
    )


def test_full_stores_get_no_parts():
    full = part_directory.Change("fast", "s/x", 100_000)
    plan = _placement(full).plan("s", _PARTS, "z1", 0.0)
    assert plan.save_addresses == ("l:1", "l:1", "")


def test_restarted_store_holds_nothing():
    changes = [*_changes_for("large", "a"), part_directory.Change("large", "")]
    assert (
        _placement(*changes).plan("s", _PARTS, "z1", 0.0).fetched_tokens == 0
    )


def test_store_that_left_the_document_is_not_used():
    placement = _placement(*_changes_for("large", "a"), stores=(_FAST,))
    assert placement.plan("s", _PARTS, "z1", 0.0).fetch_addresses[0] == ""


_CHANGES = st.lists(
    st.builds(
        part_directory.Change,
        st.sampled_from(["s1", "s2"]),
        st.sampled_from(["", "k1", "k2", "k3"]),
        st.integers(0, 3),
    ),
    max_size=30,
)


@given(_CHANGES, st.integers(0, 30))
def test_reader_that_follows_changes_matches_the_source(
    changes, initial_count
):
    """A reader that starts with all parts and applies changes is equal."""
    source = part_directory.make_part_directory()
    source.apply(changes[:initial_count])
    reader = part_directory.make_part_directory()
    reader.apply(source.full_changes())
    number = source.number
    source.apply(changes[initial_count:])
    reader.apply(source.changes_since(number))
    for store in ("s1", "s2"):
        assert reader.used_tokens(store) == source.used_tokens(store)
        for key in ("k1", "k2", "k3"):
            assert reader.tokens(store, key) == source.tokens(store, key)


@pytest.mark.parametrize(
    ("tokens", "saved_to"),
    [(1_000, "f:1"), (5_000, "l:1"), (20_000, "l:1"), (90_000, "")],
)
def test_long_parts_are_saved_to_the_largest_stores(tokens, saved_to):
    """Guards against long sessions that no store takes.

    Each of their prompts would be prefilled again from the start.
    """
    parts = (calls.Part("a", tokens), calls.Part("c", 100))
    plan = _placement().plan("s", parts, "z1", 0.0)
    assert plan.save_addresses == (saved_to, "")
