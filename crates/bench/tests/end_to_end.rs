//! Tests the oracle with a real fleet: it reports no violation while all rules are followed, and
//! reports one when a rule is broken.

use std::time::Duration;

use hooklug_bench::faults::RunProgress;
use hooklug_bench::oracle::{Promise, judge};
use hooklug_bench::scenario::chaos::{Chaos, default_topology};
use hooklug_bench::workload::{CallPlan, Client, Recorder, read_final_state};
use hooklug_emulator::{FaultKind, FaultRule, Faults, LedgerEntry};
use hooklug_fleet::caller::{CallRequest, SessionRef, TurnRequest};
use hooklug_fleet::{Fleet, ProcessKind, Topology};
use serde_json::json;

const SEED: u64 = 3;
const CALLS: usize = 20;
/// Turns that are streaming when engines are cut from the stores.
const TURNS: usize = 4;

/// Promises without a time bound. Those with a bound in seconds are measured by `hooklug-bench
/// chaos` on an otherwise idle machine, because a test must not fail when its machine is busy.
const UNTIMED: [Promise; 9] = [
    Promise::AtMostOnce,
    Promise::TrueRefusals,
    Promise::OwnWholeAnswers,
    Promise::ExactStreams,
    Promise::SingleOwner,
    Promise::TokenBudget,
    Promise::KnownTurns,
    Promise::BundleRaces,
    Promise::DurableBundles,
];

struct PrintedProgress;

impl RunProgress for PrintedProgress {
    fn report_line(&self, line: &str) {
        println!("{line}");
    }
}

fn small_topology() -> Topology {
    let mut topology = default_topology();
    topology.gateways = 2;
    topology.cores = 2;
    topology.models[0].engines = 2;
    for group in &mut topology.applications {
        group.engines = 2;
    }
    topology
}

#[tokio::test(flavor = "multi_thread")]
async fn random_faults_preserve_the_invariants() {
    println!("seed {SEED}");
    let time = Duration::from_secs(20);
    let chaos = Chaos { topology: small_topology(), time, seed: SEED, programs: 6, data: None };
    let outcome = chaos.run(&PrintedProgress).await.unwrap();
    let broken = outcome.verdict.violations.iter().filter(|v| UNTIMED.contains(&v.promise));
    assert_eq!(broken.collect::<Vec<_>>(), Vec::<&hooklug_bench::oracle::Violation>::new());
    for what in ["texts of turns", "answers to calls", "sessions read back whole"] {
        assert!(outcome.verdict.examined[what] > 0, "{what}");
    }
}

/// The route lets gateways retry calls that the callers consider non-repeatable.
#[tokio::test(flavor = "multi_thread")]
async fn the_oracle_detects_a_retried_non_repeatable_call() {
    let mut topology = small_topology();
    let tool = &mut topology.applications[1].tools[0];
    tool.may_repeat = true;
    let tool = tool.name.clone();
    let fleet = Fleet::start(topology).await.unwrap();
    let rule = FaultRule { share: 0.5, ..FaultRule::always(FaultKind::LoseAnswer) };
    let faults = Faults { rules: vec![rule], ..Faults::default() };
    for name in fleet.names(ProcessKind::App) {
        fleet.set_faults(name, &faults).await.unwrap();
    }
    let recorder = Recorder::default();
    let client = Client::new(&fleet, recorder.clone());
    client.declare_program(0, "p", 100, 10).await.unwrap();
    for number in 0..CALLS {
        let call = format!("c{number}");
        let request = CallRequest::new(&tool, json!({"call": call}));
        let program = "p".to_owned();
        let retry_time = Duration::from_secs(20);
        let (may_repeat, send_again) = (false, false);
        let plan = CallPlan { program, call, request, may_repeat, send_again, retry_time };
        client.run_call(number, &plan).await;
    }
    read_final_state(&fleet, &client).await.unwrap();
    let verdict = judge(&recorder.snapshot());
    let violations = verdict.violations.iter().filter(|v| v.promise == Promise::AtMostOnce).count();
    assert!(violations > 0, "{verdict:?}");
}

/// Turns stream from an engine that can no longer commit. With the feature `broken-rules` the
/// engine shows uncommitted events, which the oracle must report; without the feature it must
/// report nothing.
#[tokio::test(flavor = "multi_thread")]
async fn the_oracle_detects_events_an_engine_releases_before_commit() {
    let fleet = Fleet::start(small_topology()).await.unwrap();
    let recorder = Recorder::default();
    let client = Client::new(&fleet, recorder.clone());
    let running: Vec<_> = (0..TURNS).map(|n| tokio::spawn(run_turn(client.clone(), n))).collect();
    let all_started = || async {
        let generations = fleet.ledgers(ProcessKind::Model).map_err(|e| e.to_string())?;
        let generations =
            generations.iter().filter(|l| matches!(l.entry, LedgerEntry::GenerationBegan { .. }));
        if generations.count() >= TURNS {
            Ok(())
        } else {
            Err("not all turns are running".to_owned())
        }
    };
    fleet.wait_until("all turns are running", Duration::from_secs(60), all_started).await.unwrap();
    for engine in fleet.names(ProcessKind::Engine) {
        for store in fleet.names(ProcessKind::Store) {
            fleet.cut(engine, store, false).await.unwrap();
        }
    }
    // Longer than any lease, so that turns are taken over or ended by the next owner.
    tokio::time::sleep(Duration::from_secs(10)).await;
    fleet.heal().await.unwrap();
    for turn in running {
        turn.await.unwrap();
    }
    read_final_state(&fleet, &client).await.unwrap();
    let verdict = judge(&recorder.snapshot());
    assert!(verdict.examined["streams of turns"] > 0);
    let has_stream_violation =
        verdict.violations.iter().any(|v| v.promise == Promise::ExactStreams);
    assert_eq!(has_stream_violation, cfg!(feature = "broken-rules"), "{:?}", verdict.violations);
}

async fn run_turn(client: Client, number: usize) {
    let session = SessionRef::new(&format!("p{number}"), "s");
    client.declare_program(number, &session.program, 10_000, 1_000).await.unwrap();
    client.open_session(number, &session, "advisor-7b", "prefix").await.unwrap();
    let turn = TurnRequest::new("t1", None, "[tokens 800]", 1_000);
    client.run_turn(number, &session, &turn).await;
}
