//! Sessions and calls that go on all the time, and a record of everything that was acknowledged.

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
/// A tool whose calls may not be repeated.
const TOOL: &str = "export_report";
/// Pause of a line between two rounds, in which other work of the machine runs.
const PAUSE: Duration = Duration::from_millis(20);

/// What a line was told.
#[derive(Debug, Default)]
pub struct Acknowledged {
    /// Ended turns, oldest first.
    pub turns: Vec<(String, Transcript)>,
    /// Answered calls.
    pub calls: BTreeMap<String, CallAnswer>,
    /// Calls that the gateway could say nothing of.
    pub unknown: u64,
    /// Answers that no caller may ever get.
    pub faults: Vec<String>,
}

/// One program with one session: turns and calls in turn, each begun once the one before has ended.
#[derive(Debug)]
struct Line {
    session: SessionRef,
    told: Mutex<Acknowledged>,
    rounds: AtomicU64,
}

/// Load on a fleet, until stopped.
#[derive(Debug)]
pub struct Load {
    caller: Caller,
    lines: Vec<Arc<Line>>,
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Load {
    /// Opens sessions, one a program, and keeps them busy.
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

    /// Waits until each line has ended so many more rounds, begun or not before.
    pub async fn wait_rounds(&self, fleet: &Fleet, more: u64) {
        let goals: Vec<u64> =
            self.lines.iter().map(|line| line.rounds.load(Ordering::SeqCst) + more).collect();
        let look = || async {
            let late = self.lines.iter().zip(&goals);
            let mut late = late.filter(|(line, goal)| line.rounds.load(Ordering::SeqCst) < **goal);
            late.next().map_or(Ok(()), |(line, _)| {
                let told = line.told.lock().unwrap();
                Err(format!("{} waits; faults: {:?}", line.session.program, told.faults))
            })
        };
        fleet.wait_until("all lines go on", PATIENCE, look).await.unwrap();
    }

    /// How many turns ended in each way so far.
    pub fn ends(&self) -> BTreeMap<String, usize> {
        let mut ends = BTreeMap::new();
        for line in &self.lines {
            for (_, transcript) in &line.told.lock().unwrap().turns {
                *ends.entry(transcript.end().to_owned()).or_default() += 1;
            }
        }
        ends
    }

    /// Ends the load, then reads back through another gateway all that was acknowledged, and checks
    /// it against the back ends' own ledgers.
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
            "read back: {turns} turns, {calls} answered calls; {unknown} calls of unknown end"
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
        // From just before its first event on, so that an empty beginning is no new turn.
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

/// No call ran twice, by the application engines' ledgers.
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
    assert!(runs.is_empty(), "calls that may not be repeated ran more than once: {runs:?}");
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
            // Neither claims anything; the same call again is told what became of it.
            Err(error) if error.is_passing() || error.code() == Some("deadline_exceeded") => {}
            // Its gateway lost the answer: the record says so, and nothing is claimed.
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
