//! Unit tests of a store's decisions, without I/O: cluster formation, leases, clock steps, balancing of
//! leaderships and removal of replicas.

use std::time::{Duration, Instant};

use hooklug_protocol::store::{
    FormationOffer, FormationPlan, FormationReply, MemberProgress, ReplicaStatus,
};
use hooklug_raft::{ConfState, ProgressState, Role};
use hooklug_state::meta::{StoreRecord, StoreState};
use hooklug_store::balance::{LeaderMove, choose_move};
use hooklug_store::cleanup::{is_in_doubt, was_let_go};
use hooklug_store::clock::ClockSteps;
use hooklug_store::formation::{
    FormationView, OfferVerdict, PromiseFate, judge_offer, judge_promise,
};
use hooklug_store::leases::{Judgement, LeaseView, judge};
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
    FormationReply { node, address, zone, cluster, accepted, heard: Vec::new() }
}

fn offer(plan: Option<FormationPlan>, propose: Option<u64>) -> FormationOffer {
    let StoreRecord { node, address, zone, .. } = record(1);
    FormationOffer { node, address, zone, propose, plan }
}

/// Returns the view of a store that has received replies of other stores at `now`.
fn view(own: u64, others: &[u64], now: Instant) -> FormationView {
    let mut view = FormationView::new(record(own), 3, now);
    others.iter().for_each(|node| view.note(&reply(*node, 0, false), Incarnation(1), now));
    view
}

fn settled(now: Instant) -> Instant {
    now + Duration::from_millis(900)
}

#[test]
fn only_the_lowest_of_enough_settled_stores_proposes() {
    let now = Instant::now();
    assert!(view(1, &[2, 3], now).plan(7, settled(now)).is_some());
    assert!(view(2, &[1, 3], now).plan(7, settled(now)).is_none(), "not the lowest");
    assert!(view(1, &[2], now).plan(7, settled(now)).is_none(), "not enough");
    assert!(view(1, &[2, 3], now).plan(7, now).is_none(), "not settled");
    let mut stale = view(1, &[2, 3], now);
    stale.forget_silent(now + Duration::from_secs(2));
    assert!(stale.plan(7, now + Duration::from_secs(9)).is_none(), "replies expired");
}

#[test]
fn a_plan_names_all_stores_and_places_every_group() {
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
    let verdict = judge_offer(&asked, &Membership::Empty, &acceptor);
    assert_eq!(verdict, OfferVerdict::Promise(plan.clone()));
    let promised = Membership::Promised(plan);
    let again = judge_offer(&asked, &promised, &acceptor);
    assert_eq!(again, OfferVerdict::Answer { accepted: true });
    let second = judge_offer(&offer(Some(other.clone()), None), &promised, &acceptor);
    assert_eq!(second, OfferVerdict::Answer { accepted: false });
    let member = Membership::Member { cluster: 7, plan: None };
    let late = judge_offer(&offer(Some(other), None), &member, &acceptor);
    assert_eq!(late, OfferVerdict::Answer { accepted: false });
}

#[test]
fn a_store_does_not_promise_past_a_lower_one() {
    let now = Instant::now();
    let plan = view(2, &[3, 4], now).plan(7, settled(now)).unwrap();
    let sees_lower = view(3, &[1, 2, 4], now);
    let verdict = judge_offer(&offer(Some(plan), None), &Membership::Empty, &sees_lower);
    assert_eq!(verdict, OfferVerdict::Answer { accepted: false });
}

#[test]
fn only_the_coordinator_drops_a_promise() {
    let now = Instant::now();
    let plan = view(1, &[2, 3], now).plan(7, settled(now)).unwrap();
    let asked = Some(plan.cluster);
    assert_eq!(judge_promise(&plan, asked, &reply(1, 0, true)), PromiseFate::Stands);
    assert_eq!(judge_promise(&plan, asked, &reply(3, 0, false)), PromiseFate::Stands);
    assert_eq!(judge_promise(&plan, asked, &reply(1, 0, false)), PromiseFate::Dropped);
    assert_eq!(judge_promise(&plan, asked, &reply(3, 7, true)), PromiseFate::Decided);
    let asked_before_the_promise = judge_promise(&plan, None, &reply(1, 0, false));
    assert_eq!(asked_before_the_promise, PromiseFate::Stands);
}

#[test]
fn a_lease_is_held_for_its_time_and_margin_from_the_later_of_renewal_and_leadership() {
    let start = Instant::now();
    let full = LEASE_TIME + LEASE_MARGIN;
    let renewal = Renewal(4);
    let lease =
        |renewed, leading_since| LeaseView { renewal, expired: false, renewed, leading_since };
    let second = Duration::from_secs(1);
    let renewed_last = lease(Some(start + second), start);
    assert_eq!(judge(renewed_last, start + second), Judgement::Held(full));
    assert_eq!(judge(renewed_last, start + second + full), Judgement::Propose(renewal));
    let new_leader = lease(Some(start), start + second);
    assert_eq!(judge(new_leader, start + full), Judgement::Held(second));
    let never_seen = lease(None, start);
    assert_eq!(judge(never_seen, start + full), Judgement::Propose(renewal));
    let expired = LeaseView { expired: true, ..renewed_last };
    assert_eq!(judge(expired, start), Judgement::Expired);
}

#[test]
fn the_first_clock_step_is_clamped_and_later_ones_follow_the_monotonic_clock() {
    let start = Instant::now();
    let clock = UnixMillis(1_000_000);
    let first = |wall| ClockSteps::begin(clock, UnixMillis(wall), 0, start).now(start);
    assert_eq!(first(1_030_000), UnixMillis(1_030_000));
    assert_eq!(first(9_000_000), UnixMillis(1_060_000), "at most a minute ahead");
    assert_eq!(first(500_000), clock, "never goes back");
    let unset = ClockSteps::begin(UnixMillis(0), UnixMillis(9_000_000), 0, start);
    assert_eq!(unset.now(start), UnixMillis(9_000_000));
    let mut steps = ClockSteps::begin(clock, clock, 5, start);
    let second = Duration::from_secs(1);
    assert_eq!(steps.step(5, start + second), None, "idle");
    assert_eq!(steps.step(6, start + second), Some(UnixMillis(1_001_000)));
    assert_eq!(steps.step(7, start + second), None, "too soon");
    assert_eq!(steps.step(6, start + 40 * second), Some(UnixMillis(1_040_000)), "idle for long");
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
fn a_leadership_moves_to_the_store_with_the_fewest_until_they_are_even() {
    let leaders = [1, 1, 1, 2];
    let replicas: Vec<_> = (1..).zip(leaders).map(|(group, l)| replica(group, l, 1)).collect();
    let chosen = choose_move(NodeId(1), &replicas);
    assert_eq!(chosen, Some(LeaderMove { group: GroupId(1), to: NodeId(3) }));
    let even: Vec<_> = (1..).zip([1, 1, 2, 3]).map(|(group, l)| replica(group, l, 1)).collect();
    assert_eq!(choose_move(NodeId(1), &even), None);
    let mut unknown = replicas;
    unknown[3].leader = None;
    assert_eq!(choose_move(NodeId(1), &unknown), None, "a group has no known leader");
}

#[test]
fn a_leadership_does_not_move_to_a_voter_that_lags() {
    let mut replicas: Vec<_> = (1..=4).map(|group| replica(group, 1, 1)).collect();
    for replica in &mut replicas {
        replica.commit = 5_000;
        replica.progress[0].matched = 5_000;
    }
    assert_eq!(choose_move(NodeId(1), &replicas), None);
}

#[test]
fn a_replica_goes_only_at_the_word_of_a_leader_that_knows_more() {
    let own = NodeId(4);
    let mut left = replica(1, 1, 4);
    left.leader = None;
    assert!(is_in_doubt(own, &left));
    assert!(!is_in_doubt(NodeId(2), &replica(1, 1, 2)));
    let leader = replica(1, 1, 1);
    assert!(was_let_go(own, &left, &leader));
    assert!(!was_let_go(NodeId(2), &left, &leader), "still a member");
    let older = ReplicaStatus { term: 2, ..leader.clone() };
    assert!(!was_let_go(own, &left, &older));
    let behind = ReplicaStatus { commit: 9, ..leader.clone() };
    assert!(!was_let_go(own, &left, &behind));
    let mut adding = leader;
    adding.newest_conf.learners.insert(own);
    assert!(!was_let_go(own, &left, &adding), "it is being added again");
}
