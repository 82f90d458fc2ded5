//! Unit tests of a store's decisions, without I/O: cluster formation, leases, clock steps,
//! balancing of leaderships and removal of replicas.

use std::time::{Duration, Instant};

use hooklug_protocol::store::{
    FormationOffer, FormationPlan, FormationReply, MemberProgress, ReplicaStatus,
};
use hooklug_raft::{ConfState, ProgressState, Role};
use hooklug_state::meta::{StoreRecord, StoreState};
use hooklug_state::shard::{ClockStep, MeasuredTime};
use hooklug_store::balance::{LeaderTransfer, choose_transfer};
use hooklug_store::cleanup::{is_possibly_removed, was_removed};
use hooklug_store::clock::{AppliedClock, CATCH_UP_TIME, Correction, GroupClock};
use hooklug_store::formation::{
    FormationView, OfferDecision, PromiseState, decide_offer, promise_state,
};
use hooklug_store::leases::{LeaseDecision, LeaseView, decide};
use hooklug_store::{LEASE_MARGIN, LEASE_TIME, Membership};
use hooklug_types::{GroupId, Incarnation, NodeId, Renewal, UnixMillis, ZoneName};

fn zone() -> ZoneName {
    ZoneName::new("zone").unwrap()
}

fn record(node: u64) -> StoreRecord {
    StoreRecord {
        node: NodeId(node),
        incarnation: Incarnation(1),
        address: format!("127.0.0.1:{node}").parse().unwrap(),
        zone: zone(),
        state: StoreState::Active,
    }
}

fn reply(node: u64, cluster: u64, accepted: bool) -> FormationReply {
    let StoreRecord { node, address, zone, .. } = record(node);
    FormationReply { node, address, zone, cluster, accepted, known_stores: Vec::new() }
}

fn offer(plan: Option<FormationPlan>, promised_cluster: Option<u64>) -> FormationOffer {
    let StoreRecord { node, address, zone, .. } = record(1);
    FormationOffer { node, address, zone, promised_cluster, plan }
}

/// Returns the view of a store that has received replies of other stores at `now`.
fn view(own: u64, others: &[u64], now: Instant) -> FormationView {
    let mut view = FormationView::new(record(own), 3, now);
    others.iter().for_each(|node| view.record_reply(&reply(*node, 0, false), Incarnation(1), now));
    view
}

fn settled(now: Instant) -> Instant {
    now + Duration::from_millis(900)
}

#[test]
fn only_the_lowest_settled_store_proposes_a_formation_plan() {
    let now = Instant::now();
    assert!(view(1, &[2, 3], now).plan(7, settled(now)).is_some());
    assert!(view(2, &[1, 3], now).plan(7, settled(now)).is_none(), "not the lowest");
    assert!(view(1, &[2], now).plan(7, settled(now)).is_none(), "not enough");
    assert!(view(1, &[2, 3], now).plan(7, now).is_none(), "not settled");
    let mut stale = view(1, &[2, 3], now);
    stale.remove_unresponsive(now + Duration::from_secs(2));
    assert!(stale.plan(7, now + Duration::from_secs(9)).is_none(), "replies expired");
}

#[test]
fn a_formation_plan_lists_all_stores_and_places_every_group() {
    let now = Instant::now();
    let plan = view(1, &[2, 3, 4], now).plan(7, settled(now)).unwrap();
    assert_eq!(plan.stores.len(), 4);
    assert_eq!(plan.placements.len(), GroupId::all().count());
    assert!(plan.placements.iter().all(|(_, p)| p.voters.len() == 3 && p.learners.len() == 1));
}

#[test]
fn a_store_promises_to_one_plan_only() {
    let now = Instant::now();
    let plan = view(1, &[2, 3], now).plan(7, settled(now)).unwrap();
    let other = FormationPlan { cluster: 8, ..plan.clone() };
    let acceptor = view(2, &[1, 3], now);
    let asked = offer(Some(plan.clone()), None);
    let decision = decide_offer(&asked, &Membership::Empty, &acceptor);
    assert_eq!(decision, OfferDecision::Promise(plan.clone()));
    let promised = Membership::Promised(plan);
    let again = decide_offer(&asked, &promised, &acceptor);
    assert_eq!(again, OfferDecision::Reply { accepted: true });
    let second = decide_offer(&offer(Some(other.clone()), None), &promised, &acceptor);
    assert_eq!(second, OfferDecision::Reply { accepted: false });
    let member = Membership::Member { cluster: 7, plan: None };
    let late = decide_offer(&offer(Some(other), None), &member, &acceptor);
    assert_eq!(late, OfferDecision::Reply { accepted: false });
}

#[test]
fn a_store_refuses_a_plan_if_it_sees_a_lower_coordinator() {
    let now = Instant::now();
    let plan = view(2, &[3, 4], now).plan(7, settled(now)).unwrap();
    let sees_lower = view(3, &[1, 2, 4], now);
    let decision = decide_offer(&offer(Some(plan), None), &Membership::Empty, &sees_lower);
    assert_eq!(decision, OfferDecision::Reply { accepted: false });
}

#[test]
fn only_the_coordinator_drops_a_promise() {
    let now = Instant::now();
    let plan = view(1, &[2, 3], now).plan(7, settled(now)).unwrap();
    let requested_cluster = Some(plan.cluster);
    assert_eq!(promise_state(&plan, requested_cluster, &reply(1, 0, true)), PromiseState::Pending);
    assert_eq!(promise_state(&plan, requested_cluster, &reply(3, 0, false)), PromiseState::Pending);
    assert_eq!(promise_state(&plan, requested_cluster, &reply(1, 0, false)), PromiseState::Dropped);
    assert_eq!(promise_state(&plan, requested_cluster, &reply(3, 7, true)), PromiseState::Decided);
    let before_the_promise = promise_state(&plan, None, &reply(1, 0, false));
    assert_eq!(before_the_promise, PromiseState::Pending);
}

#[test]
fn the_lease_time_counts_from_the_later_of_renewal_and_leadership() {
    let start = Instant::now();
    let full = LEASE_TIME + LEASE_MARGIN;
    let renewal = Renewal(4);
    let lease = |renewed_at, leading_since| LeaseView {
        renewal,
        expired: false,
        renewed_at,
        leading_since,
    };
    let second = Duration::from_secs(1);
    let renewed_last = lease(Some(start + second), start);
    assert_eq!(decide(renewed_last, start + second), LeaseDecision::Held(full));
    assert_eq!(decide(renewed_last, start + second + full), LeaseDecision::ProposeExpiry(renewal));
    let new_leader = lease(Some(start), start + second);
    assert_eq!(decide(new_leader, start + full), LeaseDecision::Held(second));
    let never_seen = lease(None, start);
    assert_eq!(decide(never_seen, start + full), LeaseDecision::ProposeExpiry(renewal));
    let expired = LeaseView { expired: true, ..renewed_last };
    assert_eq!(decide(expired, start), LeaseDecision::Expired);
}

fn applied(time: u64, at: Instant) -> AppliedClock {
    AppliedClock { time: UnixMillis(time), at }
}

/// The time of the first step of a leader that was attached to its group at `attached_at`, if it was
/// before.
fn first_step(
    attached_at: Option<Instant>,
    applied: AppliedClock,
    wall: u64,
    now: Instant,
) -> UnixMillis {
    let mut clock = GroupClock::default();
    attached_at.into_iter().for_each(|at| clock.hear_leader(at));
    clock.lead(applied, UnixMillis(wall), now, Correction::Split);
    assert!(clock.is_step_due(true, now));
    clock.time(applied, now).expect("a leader's clock")
}

#[test]
fn the_first_clock_step_of_a_follower_goes_little_beyond_the_time_it_measured() {
    let start = Instant::now();
    let applied_at = start + CATCH_UP_TIME;
    let newest = applied(1_000_000, applied_at);
    let first = |wall| first_step(Some(start), newest, wall, applied_at);
    assert_eq!(first(1_003_000), UnixMillis(1_003_000));
    assert_eq!(first(9_000_000), UnixMillis(1_004_000), "at most 4 s ahead");
    assert_eq!(first(500_000), UnixMillis(1_000_000), "never goes back");
    let later = applied_at + Duration::from_secs(300);
    let after_pause = |wall| first_step(Some(start), newest, wall, later);
    assert_eq!(after_pause(1_300_000), UnixMillis(1_300_000), "the pause is measured");
    assert_eq!(after_pause(9_000_000), UnixMillis(1_304_000), "at most 4 s ahead");
    assert_eq!(after_pause(500_000), UnixMillis(1_300_000), "the pause counts without wall clock");
}

#[test]
fn the_first_clock_step_after_a_restart_of_all_stores_follows_the_wall_clock() {
    let start = Instant::now();
    let restored = applied(1_000_000, start);
    assert_eq!(first_step(None, restored, 9_000_000, start), UnixMillis(9_000_000));
    assert_eq!(first_step(None, restored, 500_000, start), UnixMillis(1_000_000), "never back");
    assert_eq!(first_step(None, applied(0, start), 9_000_000, start), UnixMillis(9_000_000));
    // The replica followed another leader only for a moment, which replicated old entries.
    let moment = start + Duration::from_secs(1);
    let first = first_step(Some(start), applied(1_000_000, moment), 9_000_000, moment);
    assert_eq!(first, UnixMillis(9_000_000));
}

#[test]
fn clock_steps_precede_commands_and_follow_the_monotonic_clock() {
    let start = Instant::now();
    let mut clock = GroupClock::default();
    let newest = applied(1_000_000, start);
    assert!(!clock.is_step_due(true, start), "does not lead");
    clock.lead(newest, UnixMillis(1_000_000), start, Correction::Split);
    clock.step_appended(UnixMillis(1_000_000), start);
    let second = Duration::from_secs(1);
    let mut due = |commands_wait, newest, now| {
        let time = clock.time(newest, now).filter(|_| clock.is_step_due(commands_wait, now));
        time.inspect(|time| clock.step_appended(*time, now))
    };
    assert_eq!(due(true, newest, start + second / 2), None, "too soon");
    assert_eq!(due(false, newest, start + 29 * second), None, "idle");
    assert_eq!(due(true, newest, start + 29 * second), Some(UnixMillis(1_029_000)));
    assert_eq!(due(false, newest, start + 58 * second), None, "idle");
    assert_eq!(due(false, newest, start + 59 * second), Some(UnixMillis(1_059_000)));
    // Entries of the previous leader are applied only now; its clock was ahead.
    let ahead = applied(1_090_000, start + 60 * second);
    assert_eq!(due(true, ahead, start + 61 * second), Some(UnixMillis(1_091_000)));
}

/// Guards against a jump that stores of the build before would take for time that has passed.
#[test]
fn a_leader_among_stores_of_the_build_before_stays_with_the_time_it_measured() {
    let start = Instant::now();
    let mut clock = GroupClock::default();
    let restored = applied(1_000_000, start);
    let now = start + Duration::from_secs(2);
    clock.lead(restored, UnixMillis(9_000_000), now, Correction::None);
    let step = clock.step(restored, now).expect("a leader's step");
    assert_eq!((step.now, step.details), (UnixMillis(1_002_001), None));
}

/// Guards against idle groups that pay for more than the time in their steps.
#[test]
fn a_leader_tells_what_it_measured_until_it_has_applied_its_first_step() {
    let start = Instant::now();
    let mut clock = GroupClock::default();
    let restored = applied(1_000_000, start);
    let now = start + Duration::from_secs(2);
    clock.lead(restored, UnixMillis(9_000_000), now, Correction::Split);
    let first = clock.step(restored, now).expect("a leader's step");
    let measured = MeasuredTime { from: UnixMillis(1_000_000), elapsed_ms: 2_000 };
    let told = |step: ClockStep| step.details.expect("details").measured;
    assert_eq!((first.now, told(first)), (UnixMillis(9_000_000), Some(measured)));
    clock.step_appended(first.now, now);
    let later = now + Duration::from_secs(1);
    assert!(clock.step(restored, later).is_some_and(|step| told(step).is_some()));
    let own = applied(9_000_000, now);
    let second = clock.step(own, later).expect("a leader's step");
    assert_eq!((second.now, told(second)), (UnixMillis(9_001_000), None));
}

fn replica(group: u32, leader: u64, own: u64) -> ReplicaStatus {
    let voters = [1, 2, 3].map(NodeId);
    let leads = leader == own;
    let state = ProgressState::Replicate;
    let member = |node| MemberProgress { node, matched: 10, active: true, state };
    let conf = ConfState { voters: voters.into(), learners: [].into() };
    ReplicaStatus {
        group: GroupId(group),
        role: if leads { Role::Leader } else { Role::Follower },
        term: 3,
        leader: Some(NodeId(leader)),
        leader_messages: 0,
        commit: 10,
        applied: 10,
        last_index: 10,
        newest_conf: conf.clone(),
        conf,
        progress: if leads { voters.map(member).to_vec() } else { Vec::new() },
    }
}

#[test]
fn leadership_transfers_balance_leaders_across_stores() {
    let leaders = [1, 1, 1, 2];
    let replicas: Vec<_> = (1..).zip(leaders).map(|(group, l)| replica(group, l, 1)).collect();
    let chosen = choose_transfer(NodeId(1), &replicas);
    assert_eq!(chosen, Some(LeaderTransfer { group: GroupId(1), to: NodeId(3) }));
    let even: Vec<_> = (1..).zip([1, 1, 2, 3]).map(|(group, l)| replica(group, l, 1)).collect();
    assert_eq!(choose_transfer(NodeId(1), &even), None);
    let mut unknown = replicas;
    unknown[3].leader = None;
    assert_eq!(choose_transfer(NodeId(1), &unknown), None, "a group has no known leader");
}

#[test]
fn a_leadership_does_not_move_to_a_voter_that_lags() {
    let mut replicas: Vec<_> = (1..=4).map(|group| replica(group, 1, 1)).collect();
    for replica in &mut replicas {
        replica.commit = 5_000;
        replica.progress[0].matched = 5_000;
    }
    assert_eq!(choose_transfer(NodeId(1), &replicas), None);
}

#[test]
fn a_replica_is_removed_only_on_the_report_of_an_up_to_date_leader() {
    let own = NodeId(4);
    let mut left = replica(1, 1, 4);
    left.leader = None;
    assert!(is_possibly_removed(own, &left));
    assert!(!is_possibly_removed(NodeId(2), &replica(1, 1, 2)));
    let leader = replica(1, 1, 1);
    assert!(was_removed(own, &left, &leader));
    assert!(!was_removed(NodeId(2), &left, &leader), "still a member");
    let older = ReplicaStatus { term: 2, ..leader.clone() };
    assert!(!was_removed(own, &left, &older));
    let behind = ReplicaStatus { commit: 9, ..leader.clone() };
    assert!(!was_removed(own, &left, &behind));
    let mut adding = leader;
    adding.newest_conf.learners.insert(own);
    assert!(!was_removed(own, &left, &adding), "it is being added again");
}
