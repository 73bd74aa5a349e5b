"""Tests of the choice of a replica and of its tracked load."""

import msgspec
import pytest

from papayalink.coordination import fleet as fleets
from papayalink.coordination import fleet_member
from papayalink.coordination import replica_choice
from papayalink.coordination import weight_history
from papayalink.protocol import calls
from papayalink.protocol import messages
from papayalink.state import replicas

_PARTS = (
    calls.Part("a", 2500),
    calls.Part("b", 5000),
    calls.Part("c", 1700),
)
_NOW = 100.0


def _replica(name, zone="z1", condition=replicas.Condition.READY, **fields):
    return replicas.Replica(
        replica_id=name,
        service=fields.pop("service", "models"),
        address=f"{name}:80",
        zone=zone,
        slots=fields.pop("slots", 64),
        condition=condition,
        weights=fields.pop("weights", {"m": 1}),
        **fields,
    )


def _fleet(*listed, fetched=0, history=None):
    fleet = fleets.make_fleet(
        "z1", 10.0, lambda salt, parts: fetched, history=history
    )
    fleet.update(listed)
    return fleet


def _prompt(urgency=2):
    return replica_choice.SelectionRequest(
        service="models",
        model="m",
        parts=_PARTS,
        prompt_tokens=9200,
        urgency=urgency,
    )


def _choose(fleet, request, excluded=()):
    choice = fleet.choose(request, excluded, _NOW)
    return choice and choice.member.replica.replica_id


def test_less_loaded_replica_is_chosen_also_in_another_zone():
    fleet = _fleet(_replica("r1"), _replica("r2", zone="z2"))
    assert _choose(fleet, _prompt()) == "r1"
    fleet.find("r1").begin_prefill(2, 9200)
    assert _choose(fleet, _prompt()) == "r2"


def test_work_of_other_entries_counts():
    # Guards against entries that know only their own work and all send to the
    # same replica.
    fleet = _fleet(_replica("r1"), _replica("r2"))
    work = messages.ReplicaWork("r1", ((2, 3),), ((2, 27_000),))
    fleet.update_other_work([work], _NOW)
    assert _choose(fleet, _prompt()) == "r2"


def test_old_reports_of_others_do_not_count():
    fleet = _fleet(_replica("r1"))
    work = messages.ReplicaWork("r1", ((2, 3),), ((2, 27_000),))
    fleet.update_other_work([work], _NOW - fleet_member.MAX_OTHER_WORK_AGE_S)
    assert fleet.find("r1").queued_tokens(2, _NOW) == 0


def test_urgent_prompts_do_not_wait_for_less_urgent_ones():
    fleet = _fleet(_replica("r1"))
    member = fleet.find("r1")
    member.begin_prefill(2, 30_000)
    member.begin_prefill(0, 800)
    assert member.queued_tokens(0, _NOW) == 800
    assert member.queued_tokens(2, _NOW) == 30_800
    urgent = fleet.choose(_prompt(urgency=0), (), _NOW)
    later = fleet.choose(_prompt(urgency=2), (), _NOW)
    assert urgent.wait_s < later.wait_s


@pytest.mark.parametrize(
    "change",
    [
        lambda fleet: fleet.find("r1").set_reachable(False),
        lambda fleet: fleet.find("r1").note_full(_NOW, 0.5),
        lambda fleet: fleet.update(
            [
                _replica("r1", condition=replicas.Condition.LEAVING),
                _replica("r2"),
            ]
        ),
        lambda fleet: fleet.update([_replica("r2")]),
        lambda fleet: fleet.find("r1").weights.clear(),
    ],
    ids=["unreachable", "full", "leaving", "gone", "no-model"],
)
def test_replicas_that_accept_no_work(change):
    fleet = _fleet(_replica("r1"), _replica("r2"))
    fleet.find("r2").begin_prefill(2, 100_000)
    assert _choose(fleet, _prompt()) == "r1"
    change(fleet)
    assert _choose(fleet, _prompt()) == "r2"
    assert _choose(fleet, _prompt(), ["r2"]) is None


def test_urgent_prompts_avoid_replicas_that_prefill_long_prompts():
    # Chunks of a long prompt are prefilled between the first tokens of an
    # urgent answer, which then misses an objective of a few steps.
    fleet = _fleet(_replica("r1"), _replica("r2", zone="z2"))
    fleet.find("r1").begin_prefill(2, 9200)
    assert _choose(fleet, _prompt(urgency=0)) == "r2"


def test_long_prompts_avoid_replicas_with_urgent_calls():
    fleet = _fleet(_replica("r1"), _replica("r2"))
    for _ in range(4):
        fleet.find("r1").begin_call(0)
    assert _choose(fleet, _prompt(urgency=2)) == "r2"


def test_update_returns_each_leaving_replica_once():
    fleet = _fleet(_replica("r1"), _replica("r2"))
    leaving = _replica("r1", condition=replicas.Condition.LEAVING)
    gone = fleet.update([leaving, _replica("r2")])
    assert [member.replica.replica_id for member in gone] == ["r1"]
    assert fleet.update([leaving, _replica("r2")]) == []


def test_load_survives_an_update():
    fleet = _fleet(_replica("r1"))
    fleet.find("r1").begin_prefill(2, 500)
    fleet.update([_replica("r1")])
    assert fleet.find("r1").queued_tokens(2, _NOW) == 500


def test_failing_replica_is_avoided_while_others_are_free():
    # A replica may fail some of its calls and look healthy otherwise.
    fleet = _fleet(_replica("r1"), _replica("r2", zone="z2"))
    for failed in (True, False, True, False, True):
        fleet.find("r1").note_result(failed)
    assert _choose(fleet, _prompt()) == "r2"
    for _ in range(40):
        fleet.find("r1").note_result(False)
    assert _choose(fleet, _prompt()) == "r1"


def test_stored_parts_shorten_the_expected_time():
    empty = _fleet(_replica("r1")).choose(_prompt(), (), _NOW)
    stored = _fleet(_replica("r1"), fetched=7500)
    assert stored.choose(_prompt(), (), _NOW).own_s < empty.own_s / 2


def test_rate_follows_measured_prompts():
    fleet = _fleet(_replica("r1"))
    for _ in range(200):
        fleet.note_first_token(1_000, 0.1 + 0.02)
        fleet.note_first_token(10_000, 1.0 + 0.02)
    assert fleet.tokens_per_s == pytest.approx(10_000, rel=0.01)
    # A prompt that says nothing about the rate hardly changes it.
    fleet.note_first_token(10, 9.0)
    assert fleet.tokens_per_s == pytest.approx(10_000, rel=0.1)


def test_old_list_does_not_lower_the_weight_version():
    fleet = _fleet(_replica("r1", weights={"m": 2}))
    fleet.update([_replica("r1", weights={"m": 1})])
    assert fleet.find("r1").weights == {"m": 2}


def test_plain_calls_go_to_free_slots():
    fleet = _fleet(
        _replica("p1", service="desk", slots=6, weights={}),
        _replica("p2", service="desk", slots=6, weights={}, zone="z2"),
    )
    request = replica_choice.SelectionRequest(service="desk")
    assert _choose(fleet, request) == "p1"
    for _ in range(3):
        fleet.find("p1").begin_call(5)
    assert _choose(fleet, request) == "p2"
    fleet.find("p2").note_load(calls.Load(6, 4, 6), _NOW)
    assert _choose(fleet, request) == "p1"


def test_tracked_parts_are_bounded():
    member = fleet_member.Member(_replica("r1"))
    member.note_parts("s", _PARTS[:1], 3000)
    assert member.held_tokens("s", _PARTS) == 2500
    assert member.held_tokens("other", _PARTS) == 0
    member.note_parts("s", (calls.Part("d", 2000),), 3000)
    assert member.held_tokens("s", _PARTS) == 0


@pytest.mark.parametrize(
    ("first", "second", "same"),
    [
        (("m", "", 1), ("m", "", 1), True),
        (("m", "", 1), ("m", "", 2), False),
        (("m", "", 1), ("n", "", 1), False),
        (("m", "w1", 1), ("m", "", 1), False),
        (("m", "w1", 1), ("m", "w2", 1), False),
    ],
)
def test_salt_separates_weights_and_isolated_workspaces(first, second, same):
    def salt(model, isolated, version):
        request = replica_choice.SelectionRequest(
            service="models", model=model, isolated=isolated
        )
        return replica_choice.make_salt(request, version)

    assert (salt(*first) == salt(*second)) is same


def test_replicas_that_load_weights_take_no_calls():
    fleet = _fleet(_replica("r1"), _replica("r2", zone="z2"))
    loading = messages.Loading("r1", "m", 2)
    fleet.set_loading([loading])
    assert _choose(fleet, _prompt()) == "r2"
    fleet.set_loading([])
    fleet.note_loaded([loading])
    assert fleet.find("r1").weights == {"m": 2}
    assert _choose(fleet, _prompt()) == "r1"


def _named(age_s):
    """Returns: history in which version 2 was named that long ago."""
    history = weight_history.make_weight_history()
    history.observe({}, _NOW - age_s)
    history.observe({"m": 2}, _NOW - age_s)
    return history


@pytest.mark.parametrize(
    ("age_s", "chosen"), [(0.5, "r1"), (2.0, "r2"), (9.0, "r2")]
)
def test_newest_weights_are_preferred(age_s, chosen):
    fleet = _fleet(
        _replica("r1"),
        _replica("r2", "z2", weights={"m": 2}),
        history=_named(age_s),
    )
    assert _choose(fleet, _prompt()) == chosen


@pytest.mark.parametrize(("age_s", "chosen"), [(8.0, "r1"), (9.0, None)])
def test_old_weights_are_not_used_after_their_time_limit(age_s, chosen):
    fleet = _fleet(_replica("r1"), history=_named(age_s))
    assert _choose(fleet, _prompt()) == chosen


@pytest.mark.parametrize(
    ("assumed", "listed", "newest", "corrected"),
    [(1, 1, 2, 2), (2, 1, 2, 1), (2, 2, 2, 2), (3, 1, 3, 1)],
)
def test_wrong_weight_version_is_corrected(assumed, listed, newest, corrected):
    # Guards against a replica that gets no calls after a failed order to load
    # weights.
    member = fleet_member.Member(_replica("r1", weights={"m": listed}))
    member.weights["m"] = assumed
    member.correct_weights("m", newest)
    assert member.weights["m"] == corrected


def _memory_prompt(**fields):
    wanted = {"memory_tokens": 9_250, "capacity_tokens": 50_000}
    return msgspec.structs.replace(_prompt(), **(wanted | fields))


@pytest.mark.parametrize(
    ("used", "wanted", "waits"),
    [
        # Five long prompts fit; a sixth waits until one ends.
        ({2: 37_000}, {}, False),
        ({2: 46_250}, {}, True),
        # Prompts that yield leave memory for more urgent ones.
        ({2: 37_000}, {"yields": True}, True),
        # More urgent prompts preempt less urgent ones.
        ({2: 50_000}, {"urgency": 0}, False),
        ({0: 50_000}, {"urgency": 0}, True),
        ({2: 50_000}, {"capacity_tokens": 0}, False),
    ],
)
def test_prompts_wait_for_memory(used, wanted, waits):
    fleet = _fleet(_replica("r1"))
    for urgency, tokens in used.items():
        fleet.find("r1").begin_call(urgency, tokens)
    idle = _fleet(_replica("r1")).choose(_memory_prompt(**wanted), (), _NOW)
    choice = fleet.choose(_memory_prompt(**wanted), (), _NOW)
    assert (choice.wait_s > idle.wait_s) is waits


def test_memory_of_other_entries_counts():
    fleet = _fleet(_replica("r1"), _replica("r2", zone="z2"))
    work = messages.ReplicaWork("r1", ((2, 5),), (), ((2, 48_000),))
    fleet.update_other_work([work], _NOW)
    assert _choose(fleet, _memory_prompt()) == "r2"


def test_wait_for_memory_grows_with_the_time_it_is_held():
    fleet = _fleet(_replica("r1"))
    fleet.find("r1").begin_call(2, 50_000)
    before = fleet.choose(_memory_prompt(), (), _NOW).wait_s
    for _ in range(50):
        fleet.note_memory_held(_memory_prompt(), 4.0)
    assert fleet.choose(_memory_prompt(), (), _NOW).wait_s > 2 * before


# Guards against prompts that begin on old weights after their time limit,
# because they waited at the replica.
@pytest.mark.parametrize(
    ("age_s", "queued_tokens", "chosen"),
    [
        (8.0, 0, "r1"),
        (8.0, 50_000, "r1"),
        (8.0, 150_000, None),
        (4.0, 150_000, "r1"),
        (0.0, 150_000, "r1"),
    ],
)
def test_prompts_do_not_wait_for_old_weights_beyond_their_time_limit(
    age_s, queued_tokens, chosen
):
    fleet = _fleet(_replica("r1"), history=_named(age_s))
    assert fleet.tokens_per_s == pytest.approx(50_000)
    fleet.find("r1").begin_prefill(2, queued_tokens)
    assert _choose(fleet, _prompt()) == chosen
