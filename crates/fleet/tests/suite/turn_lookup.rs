//! A turn whose predecessor finished within the retention time never gets "no such turn" while
//! engines, gateways and stores are killed and restarted, one after another and all at once.
//!
//! Detects a history that is kept in an engine or gateway only, a response of a store that lags
//! behind or has not caught up after its restart, and an absence that is reported while the shard
//! is unreachable.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use crate::support::{WAIT_TIMEOUT, caller, data_topology, finish, open, put_program, start};
use hooklug_fleet::caller::{SessionRef, Transcript, TurnRequest};
use hooklug_fleet::{Caller, Fleet, ProcessKind, ProcessName};

/// Several programs, so that several shards take part.
const PROGRAMS: [&str; 3] = ["frost", "sowing", "storm"];

/// A session with its finished turns.
struct TrackedSession {
    session: SessionRef,
    turns: Vec<(String, Transcript)>,
}

impl TrackedSession {
    /// Runs one more turn after the last one.
    async fn run_next_turn(&mut self, caller: &Caller) {
        let after = self.turns.last().map(|(name, _)| name.clone());
        let name = format!("t{}", self.turns.len() + 1);
        let request = TurnRequest::new(&name, after.as_deref(), "[tokens 5]", 8);
        let transcript = finish(caller, &self.session, &request).await;
        self.turns.push((name, transcript));
    }

    /// Asserts that every gateway finds every finished turn with all its events.
    async fn check(&self, caller: &Caller) {
        for (name, transcript) in &self.turns {
            for gateway in 0..2 {
                let view = caller.turn(gateway, &self.session, name).await.unwrap();
                assert_eq!((view.state.as_str(), view.tokens), ("finished", transcript.tokens()));
                let request = TurnRequest::new(name, None, "", 1);
                let read = Transcript { events: transcript.events[..1].to_vec(), cuts: 0 };
                let again = caller.follow_turn(gateway, &self.session, &request, read).await;
                assert_eq!(again.unwrap().events, transcript.events);
            }
        }
    }
}

/// Reads finished turns continuously and counts the responses; fails if one reports a turn as
/// absent.
async fn keep_reading(
    caller: Caller,
    targets: Vec<(SessionRef, String)>,
    stopped: Arc<AtomicBool>,
    found: Arc<AtomicU64>,
) {
    for number in 0.. {
        if stopped.load(Ordering::SeqCst) {
            return;
        }
        let (session, turn) = &targets[number % targets.len()];
        match caller.turn(number, session, turn).await {
            Ok(view) => {
                assert_eq!(view.state, "finished");
                found.fetch_add(1, Ordering::SeqCst);
            }
            Err(error) => assert!(error.is_retryable(), "{session:?} {turn}: {error}"),
        }
    }
}

async fn kill_and_restart(fleet: &Fleet, names: &[ProcessName]) {
    for name in names {
        fleet.kill(*name).unwrap();
    }
    for name in names {
        fleet.restart(*name).await.unwrap();
    }
    fleet.wait_all_ready(WAIT_TIMEOUT).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_finished_turn_is_never_reported_unknown() {
    let fleet = start(data_topology(2, 1)).await;
    let caller = caller(&fleet);
    let mut tracked = Vec::new();
    for program in PROGRAMS {
        put_program(&caller, program, 10_000).await;
        let session = open(&caller, program, "s").await;
        tracked.push(TrackedSession { session, turns: Vec::new() });
        tracked.last_mut().unwrap().run_next_turn(&caller).await;
    }
    let targets = tracked.iter().map(|k| (k.session.clone(), "t1".to_owned())).collect();
    let (stopped, found) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let reading = keep_reading(caller.clone(), targets, stopped.clone(), found.clone());
    let reading = tokio::spawn(reading);

    let mut rounds: Vec<Vec<ProcessName>> = Vec::new();
    for kind in [ProcessKind::Engine, ProcessKind::Gateway, ProcessKind::Store] {
        rounds.extend(fleet.names(kind).into_iter().map(|name| vec![name]));
    }
    rounds.push(fleet.all_names().into_iter().filter(|name| name.kind.is_node()).collect());
    for round in &rounds {
        kill_and_restart(&fleet, round).await;
        for session in &mut tracked {
            session.check(&caller).await;
            session.run_next_turn(&caller).await;
        }
    }
    stopped.store(true, Ordering::SeqCst);
    reading.await.unwrap();
    let found = found.load(Ordering::SeqCst);
    println!("{} rounds of kills; finished turns were found {found} times meanwhile", rounds.len());
    assert!(found > 0);
}
