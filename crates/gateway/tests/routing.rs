//! Unit tests of routing: placement, load balancing, engine statistics, versions and the owner
//! table.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hooklug_bundle::{Service, VersionState};
use hooklug_gateway::backend::answer::Refusal;
use hooklug_gateway::backend::balance::{self, EligibleEngine};
use hooklug_gateway::backend::stats::{CallEnd, EngineStats};
use hooklug_gateway::backend::{EngineRun, Target};
use hooklug_gateway::sessions::cursor::{Cursor, EventPosition};
use hooklug_gateway::sessions::load::LoadTable;
use hooklug_gateway::sessions::owner_table::OwnerTable;
use hooklug_gateway::sessions::placement::{self, Candidate};
use hooklug_gateway::versions::{
    RolloutClock, preferred_versions, step_percentage, time_since_commit,
};
use hooklug_state::shard::SessionRecord;
use hooklug_types::*;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{bundle, id, loopback};
use tokio::time::Instant;

const SEED: u64 = 7;

fn candidate(name: &str, zone: &str, work: u32) -> Candidate {
    Candidate {
        engine: EngineIncarnation { engine: id(name), incarnation: Incarnation(1) },
        address: loopback(),
        zone: id(zone),
        version: id("v2"),
        slots: 10,
        work,
    }
}

fn place_session(candidates: &[Candidate], prefix: Option<&str>, random: &mut impl Rng) -> String {
    let prefix = prefix.map(id::<PrefixId>);
    let chosen = placement::choose(candidates, prefix.as_ref(), &id("z1"), random);
    chosen.expect("no candidate").engine.engine.as_str().to_owned()
}

#[test]
fn prefix_affinity_holds_until_the_engine_is_full() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let candidates: Vec<_> = (0..8).map(|n| candidate(&format!("e{n}"), "z1", 0)).collect();
    let prefixes: Vec<String> = (0..64).map(|n| format!("prefix-{n}")).collect();
    let home: BTreeMap<&str, String> = prefixes
        .iter()
        .map(|p| (p.as_str(), place_session(&candidates, Some(p), &mut random)))
        .collect();
    let used: std::collections::BTreeSet<_> = home.values().collect();
    assert!(used.len() >= 6, "64 prefixes on {} of 8 engines", used.len());
    // Losing one engine moves only that engine's prefixes.
    let lost = home["prefix-0"].clone();
    let left: Vec<_> =
        candidates.iter().filter(|c| c.engine.engine.as_str() != lost).cloned().collect();
    for (prefix, engine) in &home {
        let now = place_session(&left, Some(prefix), &mut random);
        assert!(*engine == lost || now == *engine, "{prefix} moved from {engine} to {now}");
    }
    // A full engine's prefixes move to other engines.
    let mut busy = candidates.clone();
    busy.iter_mut().filter(|c| c.engine.engine.as_str() == lost).for_each(|c| c.work = 10);
    assert_ne!(place_session(&busy, Some("prefix-0"), &mut random), lost);
}

#[test]
fn placement_without_a_prefix_prefers_the_local_zone_until_full() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut candidates = vec![candidate("near", "z1", 9), candidate("far", "z2", 0)];
    for _ in 0..20 {
        assert_eq!(place_session(&candidates, None, &mut random), "near");
    }
    candidates[0].work = 10;
    for _ in 0..20 {
        assert_eq!(place_session(&candidates, None, &mut random), "far");
    }
    assert_eq!(placement::choose(&[], None, &id("z1"), &mut random), None);
}

#[test]
fn two_choice_placement_balances_load() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut candidates: Vec<_> = (0..10).map(|n| candidate(&format!("e{n}"), "z1", 0)).collect();
    for c in &mut candidates {
        c.slots = 1000;
    }
    for _ in 0..1000 {
        let name = place_session(&candidates, None, &mut random);
        candidates
            .iter_mut()
            .filter(|c| c.engine.engine.as_str() == name)
            .for_each(|c| c.work += 1);
    }
    let works: Vec<u32> = candidates.iter().map(|c| c.work).collect();
    let (least, most) = (works.iter().min().unwrap(), works.iter().max().unwrap());
    // For 1,000 placements theory bounds the spread to a few above the mean; uniform choice spreads
    // by about 60.
    assert!(most - least <= 12, "{works:?}");
}

#[test]
fn load_is_the_reported_load_plus_work_routed_since() {
    let table = LoadTable::default();
    let engine = EngineIncarnation { engine: id("e1"), incarnation: Incarnation(1) };
    let first = table.route(&engine);
    assert_eq!(table.work(&engine), 1);
    let reported = EngineLoad { running: 3, queued: 2, ..EngineLoad::default() };
    table.report(&engine, reported);
    assert_eq!(table.work(&engine), 5);
    let second = table.route(&engine);
    assert_eq!(table.work(&engine), 6);
    drop((first, second));
    assert_eq!(table.work(&engine), 5);
    assert!(!table.is_draining(&engine));
    table.report(&engine, EngineLoad { draining: true, ..reported });
    assert!(table.is_draining(&engine));
    table.retain(|_| false);
    assert_eq!(table.work(&engine), 0);
}

fn record(session: &str, owner: Option<&str>, epoch: u64) -> SessionRecord {
    SessionRecord {
        key: SessionKey { program: id("p1"), session: id(session) },
        owner: owner
            .map(|name| EngineIncarnation { engine: id(name), incarnation: Incarnation(1) }),
        epoch: SessionEpoch(epoch),
        service: id("advisor"),
        version: id("v1"),
        prefix: None,
        head: None,
        open_turn: None,
        next_seq: EventSeq(1),
        closed: false,
    }
}

#[test]
fn the_owner_table_is_bounded_and_retains_the_newest_epoch() {
    let mut table = OwnerTable::new(100);
    table.learn(&record("s1", Some("e2"), 2));
    table.learn(&record("s1", Some("e1"), 1));
    let key = record("s1", None, 0).key;
    assert_eq!(table.get(&key).unwrap().owner.engine.as_str(), "e2");
    table.forget_epoch(&key, SessionEpoch(1));
    assert!(table.get(&key).is_some());
    table.learn(&record("s1", None, 3));
    assert_eq!(table.get(&key), None);
    table.learn(&record("s1", Some("e3"), 4));
    table.learn(&SessionRecord { closed: true, ..record("s1", Some("e3"), 4) });
    assert_eq!(table.get(&key), None);
    for number in 0..1000 {
        table.learn(&record(&format!("s{number}"), Some("e1"), 1));
        assert!(table.len() <= 100);
    }
    assert!(table.get(&record("s999", None, 0).key).is_some());
}

#[test]
fn a_cursor_passes_each_event_once_and_in_order() {
    let mut cursor = Cursor::after(EventSeq(4));
    let positions = [3, 4, 5, 6].map(|seq| cursor.classify(EventSeq(seq)));
    assert_eq!(
        positions,
        [
            EventPosition::Duplicate,
            EventPosition::Duplicate,
            EventPosition::Next,
            EventPosition::Gap
        ]
    );
    assert!(!cursor.advance(EventSeq(6)));
    assert!(cursor.advance(EventSeq(5)));
    assert_eq!(cursor.last(), EventSeq(5));
}

fn choice(name: &str, zone: &str, stats: EngineStats) -> EligibleEngine {
    let target = Arc::new(Target {
        run: EngineRun { engine: id(name), incarnation: Incarnation(1) },
        service: id("farm"),
        version: id("v1"),
        address: loopback(),
        zone: id(zone),
    });
    EligibleEngine { target, stats, limit: 8 }
}

fn chosen(
    candidates: &[EligibleEngine],
    now: Instant,
    random: &mut impl Rng,
) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for _ in 0..1000 {
        let choice = balance::choose(candidates, &id("z1"), now, random).expect("no engine chosen");
        *counts.entry(choice.target.run.engine.as_str().to_owned()).or_default() += 1;
    }
    counts
}

fn with_latency(ms: u64, now: Instant) -> EngineStats {
    let mut stats = EngineStats::new(None);
    for _ in 0..20 {
        stats.call_started();
        stats.record_call_end(CallEnd::Answered(Duration::from_millis(ms)), now);
    }
    stats
}

fn failing(now: Instant) -> EngineStats {
    let mut stats = EngineStats::new(None);
    for _ in 0..3 {
        stats.call_started();
        stats.record_call_end(CallEnd::Failed, now);
    }
    stats
}

#[test]
fn balancing_prefers_fast_engines_and_the_local_zone() {
    let (now, mut random) = (Instant::now(), ChaCha8Rng::seed_from_u64(SEED));
    let mut candidates = vec![
        choice("fast", "z1", with_latency(5, now)),
        choice("slow", "z1", with_latency(500, now)),
        choice("far", "z2", with_latency(5, now)),
    ];
    let counts = chosen(&candidates, now, &mut random);
    assert_eq!(counts.get("far"), None);
    assert!(counts["fast"] > 900 || !counts.contains_key("slow"), "{counts:?}");
    for near in &mut candidates[..2] {
        (0..8).for_each(|_| near.stats.call_started());
    }
    let counts = chosen(&candidates, now, &mut random);
    assert_eq!(counts["far"], 1000);
    (0..8).for_each(|_| candidates[2].stats.call_started());
    assert!(balance::choose(&candidates, &id("z1"), now, &mut random).is_none());
}

#[test]
fn failing_engines_are_ejected_but_never_more_than_half() {
    let (now, mut random) = (Instant::now(), ChaCha8Rng::seed_from_u64(SEED));
    let mut candidates: Vec<_> =
        (0..4).map(|n| choice(&format!("a{n}"), "z1", with_latency(5, now))).collect();
    candidates[0].stats = failing(now);
    assert_eq!(chosen(&candidates, now, &mut random).get("a0"), None);
    for other in &mut candidates {
        other.stats = failing(now);
    }
    assert_eq!(chosen(&candidates, now, &mut random).len(), 2);
    // Ejection expires, and lasts longer the next time.
    let later = now + Duration::from_secs(3);
    assert_eq!(chosen(&candidates, later, &mut random).len(), 4);
    let mut again = candidates[0].stats.clone();
    again.call_started();
    again.record_call_end(CallEnd::Failed, later);
    assert_eq!(again.ejected_until(later), Some(later + Duration::from_secs(4)));
    // Refusals and cancelled calls eject no engine.
    let mut calm = EngineStats::new(None);
    for end in [CallEnd::Refused(Refusal::Overloaded), CallEnd::Cancelled].repeat(5) {
        calm.call_started();
        calm.record_call_end(end, now);
    }
    assert_eq!((calm.ejected_until(now), calm.outstanding()), (None, 0));
}

#[test]
fn a_new_engine_starts_slowly() {
    let (now, mut random) = (Instant::now(), ChaCha8Rng::seed_from_u64(SEED));
    let candidates = [
        choice("old", "z1", EngineStats::new(None)),
        choice("new", "z1", EngineStats::new(Some(now))),
    ];
    assert_eq!(chosen(&candidates, now, &mut random).get("new"), None);
    let (young, grown) = (now + Duration::from_secs(2), now + Duration::from_secs(6));
    assert!(
        candidates[1].stats.slow_start_share(young) < candidates[1].stats.slow_start_share(grown)
    );
    assert_eq!(candidates[1].stats.slow_start_share(grown), 1.0);
}

fn farm_service() -> Service {
    let mut service = bundle().services[&id::<ServiceName>("farm")].clone();
    service
        .versions
        .push(hooklug_bundle::VersionEntry { version: id("v2"), state: VersionState::Sound });
    service
}

#[test]
fn a_new_version_takes_over_step_by_step() {
    let service = farm_service();
    let at = |seconds| step_percentage(&service, Some(Duration::from_secs(seconds)));
    assert_eq!([0, 4, 5, 10, 15, 900].map(at), [5, 5, 25, 50, 100, 100]);
    assert_eq!(step_percentage(&service, None), 100);
    let share = |age, stopped: bool| {
        let mut random = ChaCha8Rng::seed_from_u64(SEED);
        let first = |_| {
            let draw = random.random_range(0..100);
            let stopped = |v: &ServiceVersion| stopped && v.as_str() == "v2";
            preferred_versions(&service, age, draw, stopped)[0].as_str() == "v2"
        };
        (0..10_000).map(first).filter(|newest| *newest).count()
    };
    let second_step = share(Some(Duration::from_secs(7)), false);
    assert!((2_300..2_700).contains(&second_step), "{second_step} of 10,000 at 25 %");
    assert_eq!(share(None, false), 10_000);
    assert_eq!(share(None, true), 0);
    let mut rolled_back = service.clone();
    rolled_back.versions[1].state = VersionState::RolledBack;
    assert_eq!(preferred_versions(&rolled_back, None, 0, |_| false), [id("v1")]);
}

#[test]
fn the_share_of_a_version_without_engines_goes_to_an_older_version() {
    let mut service = farm_service();
    service
        .versions
        .push(hooklug_bundle::VersionEntry { version: id("v3"), state: VersionState::Sound });
    // Version 2 was listed but never ran: its share belongs to version 1, not to version 3.
    let order = preferred_versions(&service, Some(Duration::ZERO), 99, |_| false);
    assert_eq!(order, [id("v2"), id("v1"), id("v3")]);
    let order = preferred_versions(&service, Some(Duration::ZERO), 0, |_| false);
    assert_eq!(order, [id("v3"), id("v2"), id("v1")]);
}

#[test]
fn rollout_steps_count_from_the_bundle_that_added_the_version() {
    let (now, name) = (Instant::now(), id::<ServiceName>("farm"));
    let (v1, v2) = (id::<ServiceVersion>("v1"), id::<ServiceVersion>("v2"));
    let mut clock = RolloutClock::default();
    let long_ago = Duration::from_secs(1_000_000);
    clock.record_versions([(&name, &v1)].into_iter(), long_ago, now);
    // The rollout is complete, whether or not the clock's range reaches back that far.
    assert_eq!(step_percentage(&farm_service(), clock.age(&name, &v1, now)), 100);
    clock.record_versions(
        [(&name, &v2)].into_iter(),
        Duration::ZERO,
        now + Duration::from_secs(10),
    );
    // Another bundle with the same version does not restart the steps.
    clock.record_versions(
        [(&name, &v2)].into_iter(),
        Duration::ZERO,
        now + Duration::from_secs(12),
    );
    let age = clock.age(&name, &v2, now + Duration::from_secs(13));
    assert_eq!(age, Some(Duration::from_secs(3)));
    // A gateway that starts during a rollout continues it.
    let mut late = RolloutClock::default();
    late.record_versions([(&name, &v2)].into_iter(), Duration::from_millis(700), now);
    assert_eq!(late.age(&name, &v2, now), Some(Duration::from_millis(700)));
}

#[test]
fn a_bundle_without_a_commit_time_has_age_zero() {
    let now = UnixMillis(1_700_000_000_000);
    assert_eq!(time_since_commit(UnixMillis::default(), now), Duration::ZERO);
    assert_eq!(time_since_commit(UnixMillis(now.0 - 700), now), Duration::from_millis(700));
}
