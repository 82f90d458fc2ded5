//! Components without I/O: routes, event parsing, selection of backends and load estimates.

use std::time::Duration;

use hooklug_bundle::http::{HttpRoute, HttpRouting, RepeatRule, WeightedService};
use hooklug_ingress::choice::{Candidate, best_for_prompt, better_of_two, own_subset};
use hooklug_ingress::load::LoadEstimate;
use hooklug_ingress::prefix_ring::{PrefixRing, in_ring_order};
use hooklug_ingress::prompt_caches::PromptCaches;
use hooklug_ingress::routes::{RouteTable, pick_service};
use hooklug_ingress::sse::EventReader;
use hooklug_ingress::{LoadReport, PromptPart};
use hooklug_types::{EngineId, RouteName, ServiceName};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

const SEED: u64 = 7;

fn service(name: &str, weight: u32) -> WeightedService {
    WeightedService { service: ServiceName::new(name).unwrap(), weight }
}

fn route(host: &str, path_prefix: &str) -> HttpRoute {
    HttpRoute {
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        repeat: RepeatRule::Once,
        streaming: false,
        keep_ms: None,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        priority: 0,
        max_attempts: 1,
        sticky: false,
        backends: vec![service("one", 1)],
    }
}

fn routing(routes: &[(&str, &str, &str)]) -> HttpRouting {
    let named = |(name, host, prefix): &(&str, &str, &str)| {
        (RouteName::new(name).unwrap(), route(host, prefix))
    };
    HttpRouting { routes: routes.iter().map(named).collect(), ..HttpRouting::default() }
}

fn found(table: &RouteTable, host: &str, path: &str) -> Option<String> {
    table.find(host, path).map(|route| route.name.to_string())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = RouteTable::new(&routing(&[
        ("short", "a.example", "/x/"),
        ("long", "a.example", "/x/y/"),
        ("other", "b.example", "/x/"),
    ]));
    assert_eq!(found(&table, "a.example", "/x/1").as_deref(), Some("short"));
    assert_eq!(found(&table, "A.example:80", "/x/y/1").as_deref(), Some("long"));
    assert_eq!(found(&table, "b.example", "/x/y/1").as_deref(), Some("other"));
    assert_eq!(found(&table, "a.example", "/y/"), None);
    assert_eq!(found(&table, "c.example", "/x/1"), None);
}

#[test]
fn services_are_picked_by_weight_and_never_at_weight_zero() {
    println!("seed {SEED}");
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let backends = vec![service("none", 0), service("some", 1), service("most", 9)];
    let weighted = HttpRoute { backends, ..route("a", "/") };
    let draws: Vec<_> = (0..1_000).filter_map(|_| pick_service(&weighted, &mut rng)).collect();
    let count_of = |name: &str| draws.iter().filter(|drawn| drawn.as_str() == name).count();
    assert_eq!(count_of("none"), 0);
    assert!((50..200).contains(&count_of("some")), "{}", count_of("some"));
    assert_eq!(count_of("some") + count_of("most"), 1_000);
}

#[test]
fn events_are_parsed_with_any_line_ending() {
    let mut reader = EventReader::default();
    let events =
        reader.read(b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata:c\r\n\r\n: note\n\ndata: d");
    assert_eq!(events, ["a", "b\nc"]);
    assert_eq!(reader.read(b"\n\n"), ["d"]);
}

proptest! {
    #[test]
    fn events_do_not_depend_on_how_the_bytes_arrive(cuts in prop::collection::vec(1_usize..9, 1..40)) {
        let stream = b"id: 1\ndata: first\n\nid: 2\r\ndata: sec\r\ndata: ond\r\n\r\ndata\n\ndata: x\n\n";
        let expected = EventReader::default().read(stream);
        let (mut reader, mut events, mut rest) = (EventReader::default(), Vec::new(), &stream[..]);
        for cut in cuts.into_iter().cycle() {
            let (chunk, left) = rest.split_at(cut.min(rest.len()));
            events.extend(reader.read(chunk));
            rest = left;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(events, expected);
    }
}

struct Fleet {
    ids: Vec<EngineId>,
}

impl Fleet {
    fn of(count: usize) -> Self {
        let ids = (0..count).map(|number| EngineId::new(format!("e{number}")).unwrap()).collect();
        Self { ids }
    }

    fn candidates(&self, requests: impl Fn(usize) -> f64) -> Vec<Candidate<'_>> {
        let candidate = |(number, id)| Candidate {
            id,
            requests: requests(number),
            load: requests(number) / 64.0,
            latency_ms: 100.0,
            failure_share: 0.0,
            missing_tokens: 1_000,
        };
        self.ids.iter().enumerate().map(candidate).collect()
    }
}

/// The share of the requests that each engine gets, given the number of requests per prefix.
fn shares(requests: &[(&str, usize)], fleet: &Fleet) -> Vec<f64> {
    let mut ring = PrefixRing::default();
    requests.iter().for_each(|(prefix, times)| (0..*times).for_each(|_| ring.record(prefix)));
    let ordered = in_ring_order(fleet.ids.iter());
    let total: usize = requests.iter().map(|(_, times)| times).sum();
    let mut shares = vec![0.0; ordered.len()];
    for (prefix, times) in requests {
        let segment = ring.segment(prefix).expect("a recorded prefix");
        let own: Vec<usize> =
            (0..ordered.len()).filter(|index| segment.overlaps(*index, ordered.len())).collect();
        assert!(!own.is_empty());
        for index in &own {
            shares[*index] += *times as f64 / total as f64 / own.len() as f64;
        }
    }
    shares
}

#[test]
fn engines_are_shared_among_prefixes_by_request_rate() {
    let fleet = Fleet::of(48);
    let requests = [("a", 160), ("b", 80), ("c", 60), ("d", 40), ("e", 30), ("f", 20)];
    let shares = shares(&requests, &fleet);
    let fair = 1.0 / 48.0;
    assert!(shares.iter().all(|share| *share > 0.3 * fair && *share < 2.0 * fair), "{shares:?}");
}

#[test]
fn an_unrequested_prefix_has_no_segment() {
    let mut ring = PrefixRing::default();
    (0..600).for_each(|_| ring.record("often"));
    assert!(ring.segment("never").is_none());
    assert!(ring.segment("often").is_some());
}

#[test]
fn an_engine_with_a_cached_prompt_is_preferred_unless_overloaded() {
    println!("seed {SEED}");
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let fleet = Fleet::of(9);
    for holder in 0..9 {
        let candidates_with_load = |requests: f64| {
            let mut candidates = fleet.candidates(|n| if n == holder { requests } else { 1.0 });
            candidates[holder].missing_tokens = 100;
            candidates.iter_mut().enumerate().filter(|(n, _)| *n != holder).for_each(|(_, c)| {
                c.missing_tokens = 3_600;
            });
            candidates
        };
        assert_eq!(
            *best_for_prompt(&candidates_with_load(3.0), &mut rng).unwrap().id,
            fleet.ids[holder]
        );
        assert_ne!(
            *best_for_prompt(&candidates_with_load(20.0), &mut rng).unwrap().id,
            fleet.ids[holder]
        );
        assert_ne!(
            *best_for_prompt(&candidates_with_load(64.0), &mut rng).unwrap().id,
            fleet.ids[holder]
        );
    }
}

#[test]
fn partially_failing_backends_are_avoided_even_if_idle() {
    println!("seed {SEED}");
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let fleet = Fleet::of(2);
    let mut candidates = fleet.candidates(|number| if number == 0 { 0.0 } else { 4.0 });
    candidates[0].failure_share = 0.4;
    for _ in 0..20 {
        assert_eq!(*better_of_two(&candidates, &mut rng).unwrap().id, fleet.ids[1]);
        assert_eq!(*best_for_prompt(&candidates, &mut rng).unwrap().id, fleet.ids[1]);
    }
}

#[test]
fn a_gateway_uses_a_stable_subset_without_full_backends() {
    let fleet = Fleet::of(100);
    let calm = fleet.candidates(|_| 1.0);
    let own = own_subset(&calm, "gateway");
    assert_eq!(own.len(), 12);
    let ids = |subset: &[Candidate<'_>]| -> Vec<EngineId> {
        subset.iter().map(|candidate| candidate.id.clone()).collect()
    };
    assert_eq!(ids(&own), ids(&own_subset(&calm, "gateway")));
    assert_ne!(ids(&own), ids(&own_subset(&calm, "another")));
    let full = fleet.candidates(|_| 64.0);
    assert!(own_subset(&full, "gateway").is_empty());
}

#[test]
fn uncached_tokens_count_from_the_first_unknown_prompt_part() {
    let part = |id: &str, tokens| PromptPart { id: id.to_owned(), tokens };
    let (shared, own, next) = (part("a", 2_560), part("b", 500), part("c", 40));
    let engine = EngineId::new("e").unwrap();
    let mut caches = PromptCaches::default();
    let first = [shared.clone(), own.clone()];
    assert_eq!(caches.missing_tokens(&engine, &first, false), 3_060);
    caches.record(&engine, &first);
    assert_eq!(caches.missing_tokens(&engine, &first, false), 0);
    assert_eq!(caches.missing_tokens(&engine, &[shared.clone(), own, next.clone()], false), 40);
    assert_eq!(caches.missing_tokens(&engine, &[next, shared], false), 2_600);
    let other = EngineId::new("other").unwrap();
    assert_eq!(caches.missing_tokens(&other, &first, true), 500);
    caches.retain(|_| false);
    assert_eq!(caches.missing_tokens(&engine, &first, false), 3_060);
}

#[test]
fn the_less_loaded_of_two_engines_is_chosen() {
    println!("seed {SEED}");
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let fleet = Fleet::of(2);
    let candidates = fleet.candidates(|number| if number == 0 { 77.0 } else { 26.0 });
    for _ in 0..20 {
        assert_eq!(*better_of_two(&candidates, &mut rng).unwrap().id, fleet.ids[1]);
    }
    assert!(better_of_two(&[], &mut rng).is_none());
    assert!(best_for_prompt(&[], &mut rng).is_none());
}

#[test]
fn reported_load_decays_with_the_age_of_the_report() {
    let began = Instant::now();
    let mut load = LoadEstimate::default();
    load.in_flight = 2;
    load.record(LoadReport { running: 6, waiting: 1, slots: 8 }, began);
    assert!((load.requests(began) - 7.0).abs() < 1e-9);
    load.in_flight = 3;
    assert!((load.requests(began) - 8.0).abs() < 1e-9);
    assert!((load.share(64, began) - 1.0).abs() < 1e-9, "uses the reported slots");
    assert!((load.requests(began + Duration::from_secs(60)) - 3.0).abs() < 1e-9);
}
