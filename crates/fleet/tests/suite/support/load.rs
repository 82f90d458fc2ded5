//! Load generator: sessions and calls that run continuously, with a record of everything that was
//! acknowledged.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hooklug_emulator::LedgerEntry;
use hooklug_fleet::caller::{CallAnswer, CallRequest, SessionRef, Transcript, TurnRequest};
use hooklug_fleet::{Caller, Fleet, ProcessKind};
use hooklug_types::UnixMillis;
use serde_json::json;
use tokio::task::JoinHandle;

use super::{MODEL, TENANT, WAIT_TIMEOUT};

const BUDGET: u64 = 1_000_000;
/// A tool with non-repeatable calls.
const TOOL: &str = "export_report";
/// Pause between two rounds, in which other work of the machine can run.
const PAUSE: Duration = Duration::from_millis(20);

/// Acknowledged results of a worker.
#[derive(Debug, Default)]
pub struct Acknowledged {
    /// Turns that ended, oldest first.
    pub turns: Vec<(String, Transcript)>,
    /// Calls that were answered.
    pub calls: BTreeMap<String, CallAnswer>,
    /// Number of calls whose outcome the gateway reported as unknown.
    pub unknown: u64,
    /// Responses that violate the contract.
    pub violations: Vec<String>,
}

/// One program with one session. Turns and calls alternate, each started after the one before has
/// ended.
#[derive(Debug)]
struct Worker {
    session: SessionRef,
    acknowledged: Mutex<Acknowledged>,
    rounds: AtomicU64,
}

/// Load on a fleet that runs until it is stopped.
#[derive(Debug)]
pub struct Load {
    caller: Caller,
    workers: Vec<Arc<Worker>>,
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Load {
    /// Opens a session in each of `count` programs and starts to send turns and calls.
    pub async fn start(fleet: &Fleet, count: usize) -> Self {
        let caller = Caller::new(fleet.gateways(), TENANT);
        let stop = Arc::new(AtomicBool::new(false));
        let mut load = Self { caller, workers: Vec::new(), stop, tasks: Vec::new() };
        let end = UnixMillis::now().plus(Duration::from_secs(3_600));
        for number in 0..count {
            let session = SessionRef::new(&format!("load-{number}"), "s");
            load.caller.put_program(number, &session.program, BUDGET, end.0).await.unwrap();
            load.caller.open_session(number, &session, MODEL, None).await.unwrap();
            let worker = Arc::new(Worker {
                session,
                acknowledged: Mutex::default(),
                rounds: AtomicU64::new(0),
            });
            load.workers.push(worker.clone());
            let work = run_worker(load.caller.clone(), worker, number, load.stop.clone());
            load.tasks.push(tokio::spawn(work));
        }
        load.wait_rounds(fleet, 1).await;
        load
    }

    /// Waits until each worker has completed this number of further rounds; a round in progress
    /// counts.
    pub async fn wait_rounds(&self, fleet: &Fleet, more: u64) {
        let targets: Vec<u64> =
            self.workers.iter().map(|worker| worker.rounds.load(Ordering::SeqCst) + more).collect();
        let check = || async {
            let behind = self.workers.iter().zip(&targets);
            let mut behind =
                behind.filter(|(worker, target)| worker.rounds.load(Ordering::SeqCst) < **target);
            behind.next().map_or(Ok(()), |(worker, _)| {
                let acknowledged = worker.acknowledged.lock().unwrap();
                Err(format!(
                    "{} made no progress; violations: {:?}",
                    worker.session.program, acknowledged.violations
                ))
            })
        };
        fleet.wait_until("all workers make progress", WAIT_TIMEOUT, check).await.unwrap();
    }

    /// Number of turns by the type of their terminal event.
    pub fn turn_ends(&self) -> BTreeMap<String, usize> {
        let mut turn_ends = BTreeMap::new();
        for worker in &self.workers {
            for (_, transcript) in &worker.acknowledged.lock().unwrap().turns {
                *turn_ends.entry(transcript.end().to_owned()).or_default() += 1;
            }
        }
        turn_ends
    }

    /// Stops the load, then reads back everything that was acknowledged through another gateway and
    /// compares it with the ledgers of the backends.
    pub async fn stop_and_read_back(self, fleet: &Fleet) {
        self.stop.store(true, Ordering::SeqCst);
        for task in self.tasks {
            task.await.unwrap();
        }
        let (mut turns, mut calls, mut unknown) = (0, 0, 0);
        for (number, worker) in self.workers.iter().enumerate() {
            let acknowledged = std::mem::take(&mut *worker.acknowledged.lock().unwrap());
            assert!(
                acknowledged.violations.is_empty(),
                "{}: {:?}",
                worker.session.program,
                acknowledged.violations
            );
            read_back(&self.caller, number + 1, &worker.session, &acknowledged).await;
            turns += acknowledged.turns.len();
            calls += acknowledged.calls.len();
            unknown += acknowledged.unknown;
        }
        check_runs(fleet);
        println!(
            "read back: {turns} turns, {calls} answered calls; {unknown} calls with unknown outcome"
        );
    }
}

async fn read_back(
    caller: &Caller,
    gateway: usize,
    session: &SessionRef,
    acknowledged: &Acknowledged,
) {
    let mut tokens = 0;
    for (turn, transcript) in &acknowledged.turns {
        let request = TurnRequest::new(turn, None, "", 1);
        // Starts after the first event, so that the turn is resumed. With an empty transcript it
        // would be sent again.
        let first = transcript.events[..1].to_vec();
        let received = Transcript { events: first, cuts: 0 };
        let again = caller.follow_turn(gateway, session, &request, received).await.unwrap();
        assert_eq!(again.events, transcript.events, "{}: {turn} read again", session.program);
        tokens += transcript.tokens();
    }
    for (call, answer) in &acknowledged.calls {
        let state = caller.call_state(gateway, &session.program, call).await.unwrap();
        assert_eq!(state.state, "answered", "{}/{call}", session.program);
        assert_eq!(state.body.as_ref(), Some(&answer.body), "{}/{call}", session.program);
    }
    let program = caller.program(gateway, &session.program).await.unwrap();
    assert_eq!((program.token_budget, program.spent), (BUDGET, tokens), "{}", session.program);
}

/// Asserts that no call ran more than once, according to the ledgers of the application engines.
fn check_runs(fleet: &Fleet) {
    let mut runs = BTreeMap::<String, usize>::new();
    for line in fleet.ledgers(ProcessKind::App).unwrap() {
        if let LedgerEntry::CallRan { call, tool, .. } = line.entry
            && tool == TOOL
        {
            *runs.entry(call).or_default() += 1;
        }
    }
    runs.retain(|_, times| *times > 1);
    assert!(runs.is_empty(), "non-repeatable calls ran more than once: {runs:?}");
}

async fn run_worker(caller: Caller, worker: Arc<Worker>, gateway: usize, stop: Arc<AtomicBool>) {
    let mut number = 0_u64;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        run_turn(&caller, &worker, gateway, number).await;
        make_call(&caller, &worker, gateway, number).await;
        worker.rounds.fetch_add(1, Ordering::SeqCst);
        tokio::time::sleep(PAUSE).await;
    }
}

async fn run_turn(caller: &Caller, worker: &Worker, gateway: usize, number: u64) {
    let after = worker.acknowledged.lock().unwrap().turns.last().map(|(turn, _)| turn.clone());
    let name = format!("t{number}");
    let request = TurnRequest::new(&name, after.as_deref(), "[tokens 5]", 16);
    loop {
        let ended = caller.run_turn(gateway, &worker.session, &request).await;
        let mut acknowledged = worker.acknowledged.lock().unwrap();
        match ended {
            Ok(transcript) => {
                if let Err(error) = transcript.check(&name) {
                    acknowledged.violations.push(error.to_string());
                }
                acknowledged.turns.push((name, transcript));
                return;
            }
            Err(error) if error.is_retryable() => {}
            Err(error) => {
                acknowledged.violations.push(format!("{name}: {error}"));
                return;
            }
        }
    }
}

async fn make_call(caller: &Caller, worker: &Worker, gateway: usize, number: u64) {
    let name = format!("c{number}");
    let request = CallRequest::new(TOOL, json!({ "number": number }));
    loop {
        let answered = caller.call(gateway, &worker.session.program, &name, &request).await;
        let mut acknowledged = worker.acknowledged.lock().unwrap();
        match answered {
            Ok(answer) => {
                acknowledged.calls.insert(name, answer);
                return;
            }
            // The outcome is unknown in both cases; the same call is sent again.
            Err(error) if error.is_retryable() || error.code() == Some("deadline_exceeded") => {}
            // The response was lost, and the record of the call says so.
            Err(error) if error.code() == Some("call_unknown") => {
                acknowledged.unknown += 1;
                return;
            }
            Err(error) => {
                acknowledged.violations.push(format!("{name}: {error}"));
                return;
            }
        }
    }
}
