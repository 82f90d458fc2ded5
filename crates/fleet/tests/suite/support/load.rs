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

use super::{MODEL, PATIENCE, TENANT};

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
    pub faults: Vec<String>,
}

/// One program with one session. Turns and calls alternate, each started after the one before has
/// ended.
#[derive(Debug)]
struct Line {
    session: SessionRef,
    told: Mutex<Acknowledged>,
    rounds: AtomicU64,
}

/// Load on a fleet that runs until it is stopped.
#[derive(Debug)]
pub struct Load {
    caller: Caller,
    lines: Vec<Arc<Line>>,
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Load {
    /// Opens a session in each of `count` programs and starts to send turns and calls.
    pub async fn start(fleet: &Fleet, count: usize) -> Self {
        let caller = Caller::new(fleet.gateways(), TENANT);
        let stop = Arc::new(AtomicBool::new(false));
        let mut load = Self { caller, lines: Vec::new(), stop, tasks: Vec::new() };
        let end = UnixMillis::now().plus(Duration::from_secs(3_600));
        for number in 0..count {
            let session = SessionRef::new(&format!("load-{number}"), "s");
            load.caller.put_program(number, &session.program, BUDGET, end.0).await.unwrap();
            load.caller.open_session(number, &session, MODEL, None).await.unwrap();
            let line =
                Arc::new(Line { session, told: Mutex::default(), rounds: AtomicU64::new(0) });
            load.lines.push(line.clone());
            let work = keep_busy(load.caller.clone(), line, number, load.stop.clone());
            load.tasks.push(tokio::spawn(work));
        }
        load.wait_rounds(fleet, 1).await;
        load
    }

    /// Waits until each worker has completed this number of further rounds; a round in progress
    /// counts.
    pub async fn wait_rounds(&self, fleet: &Fleet, more: u64) {
        let goals: Vec<u64> =
            self.lines.iter().map(|line| line.rounds.load(Ordering::SeqCst) + more).collect();
        let look = || async {
            let late = self.lines.iter().zip(&goals);
            let mut late = late.filter(|(line, goal)| line.rounds.load(Ordering::SeqCst) < **goal);
            late.next().map_or(Ok(()), |(line, _)| {
                let told = line.told.lock().unwrap();
                Err(format!(
                    "{} made no progress; violations: {:?}",
                    line.session.program, told.faults
                ))
            })
        };
        fleet.wait_until("all workers make progress", PATIENCE, look).await.unwrap();
    }

    /// Number of turns by the type of their terminal event.
    pub fn ends(&self) -> BTreeMap<String, usize> {
        let mut ends = BTreeMap::new();
        for line in &self.lines {
            for (_, transcript) in &line.told.lock().unwrap().turns {
                *ends.entry(transcript.end().to_owned()).or_default() += 1;
            }
        }
        ends
    }

    /// Stops the load, then reads back everything that was acknowledged through another gateway and
    /// compares it with the ledgers of the backends.
    pub async fn stop_and_read_back(self, fleet: &Fleet) {
        self.stop.store(true, Ordering::SeqCst);
        for task in self.tasks {
            task.await.unwrap();
        }
        let (mut turns, mut calls, mut unknown) = (0, 0, 0);
        for (number, line) in self.lines.iter().enumerate() {
            let told = std::mem::take(&mut *line.told.lock().unwrap());
            assert!(told.faults.is_empty(), "{}: {:?}", line.session.program, told.faults);
            read_line_back(&self.caller, number + 1, &line.session, &told).await;
            turns += told.turns.len();
            calls += told.calls.len();
            unknown += told.unknown;
        }
        check_runs(fleet);
        println!(
            "read back: {turns} turns, {calls} answered calls; {unknown} calls with unknown outcome"
        );
    }
}

async fn read_line_back(
    caller: &Caller,
    gateway: usize,
    session: &SessionRef,
    told: &Acknowledged,
) {
    let mut tokens = 0;
    for (turn, transcript) in &told.turns {
        let request = TurnRequest::new(turn, None, "", 1);
        // Starts after the first event, so that the turn is resumed. With an empty transcript it
        // would be sent again.
        let first = transcript.events[..1].to_vec();
        let begun = Transcript { events: first, cuts: 0 };
        let again = caller.follow_turn(gateway, session, &request, begun).await.unwrap();
        assert_eq!(again.events, transcript.events, "{}: {turn} read again", session.program);
        tokens += transcript.tokens();
    }
    for (call, answer) in &told.calls {
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

async fn keep_busy(caller: Caller, line: Arc<Line>, gateway: usize, stop: Arc<AtomicBool>) {
    let mut number = 0_u64;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        run_turn(&caller, &line, gateway, number).await;
        make_call(&caller, &line, gateway, number).await;
        line.rounds.fetch_add(1, Ordering::SeqCst);
        tokio::time::sleep(PAUSE).await;
    }
}

async fn run_turn(caller: &Caller, line: &Line, gateway: usize, number: u64) {
    let after = line.told.lock().unwrap().turns.last().map(|(turn, _)| turn.clone());
    let name = format!("t{number}");
    let request = TurnRequest::new(&name, after.as_deref(), "[tokens 5]", 16);
    loop {
        let ended = caller.run_turn(gateway, &line.session, &request).await;
        let mut told = line.told.lock().unwrap();
        match ended {
            Ok(transcript) => {
                if let Err(error) = transcript.check(&name) {
                    told.faults.push(error.to_string());
                }
                told.turns.push((name, transcript));
                return;
            }
            Err(error) if error.is_passing() => {}
            Err(error) => {
                told.faults.push(format!("{name}: {error}"));
                return;
            }
        }
    }
}

async fn make_call(caller: &Caller, line: &Line, gateway: usize, number: u64) {
    let name = format!("c{number}");
    let request = CallRequest::new(TOOL, json!({ "number": number }));
    loop {
        let answered = caller.call(gateway, &line.session.program, &name, &request).await;
        let mut told = line.told.lock().unwrap();
        match answered {
            Ok(answer) => {
                told.calls.insert(name, answer);
                return;
            }
            // The outcome is unknown in both cases; the same call is sent again.
            Err(error) if error.is_passing() || error.code() == Some("deadline_exceeded") => {}
            // The response was lost, and the record of the call says so.
            Err(error) if error.code() == Some("call_unknown") => {
                told.unknown += 1;
                return;
            }
            Err(error) => {
                told.faults.push(format!("{name}: {error}"));
                return;
            }
        }
    }
}
