//! What the tests of promises share: a small fleet, its caller, and the evidence of its stand-ins.

#![allow(dead_code, reason = "each test file uses its part")]

use std::time::Duration;

use hooklug_emulator::{FaultKind, FaultRule, Faults, LedgerEntry};
use hooklug_fleet::caller::{CallRequest, SessionRef, SessionView, Transcript, TurnRequest};
use hooklug_fleet::http::{Ask, HttpClient};
use hooklug_fleet::{Caller, Fleet, ProcessKind, ProcessName, Topology};
use hooklug_types::{UnixMillis, shard_of};
use serde_json::{Value, json};

pub const MODEL: &str = "advisor-7b";
pub const TENANT: &str = "serra-verde";
/// Longest wait for a condition.
pub const LIMIT: Duration = Duration::from_secs(60);

/// A fleet of one version: three stores, one core, two gateways.
pub fn topology(engines: usize, applications: usize) -> Topology {
    let mut topology = Topology::small();
    topology.stores = 3;
    topology.cores = 1;
    topology.gateways = 2;
    topology.models.truncate(1);
    topology.models[0].engines = engines;
    topology.applications.retain(|group| group.service.as_str() == "alarms");
    topology.applications[0].engines = applications;
    topology
}

pub fn name(text: &str) -> ProcessName {
    text.parse().unwrap()
}

pub fn caller(fleet: &Fleet) -> Caller {
    Caller::new(fleet.gateways(), TENANT)
}

/// Declares a program that has an hour.
pub async fn put_program(caller: &Caller, program: &str, budget: u64) {
    let end = UnixMillis::now().plus(Duration::from_secs(3_600));
    caller.put_program(0, program, budget, end.0).await.unwrap();
}

pub async fn open(caller: &Caller, program: &str, session: &str) -> SessionRef {
    let session = SessionRef::new(program, session);
    caller.open_session(0, &session, MODEL, None).await.unwrap();
    session
}

/// The engine that owns a session.
pub async fn owner(fleet: &Fleet, caller: &Caller, session: &SessionRef) -> ProcessName {
    let view: SessionView = caller.session(0, session).await.unwrap();
    let owner = view.owner.unwrap();
    let engines = fleet.names(ProcessKind::Engine);
    engines.into_iter().find(|engine| engine.word() == owner).unwrap()
}

/// A call that may not be repeated.
pub fn alarm(house: u64) -> CallRequest {
    CallRequest::new("send_alarm", json!({"house": house}))
}

/// How often a call ran, by the ledgers of all application engines.
pub fn runs(fleet: &Fleet, call: &str) -> usize {
    fleet.names(ProcessKind::App).into_iter().map(|app| runs_at(fleet, app, call)).sum()
}

/// How often a call ran at one application engine.
pub fn runs_at(fleet: &Fleet, app: ProcessName, call: &str) -> usize {
    let ran =
        |entry: &LedgerEntry| matches!(entry, LedgerEntry::CallRan { call: c, .. } if c == call);
    fleet.ledger(app).unwrap().iter().filter(|line| ran(&line.entry)).count()
}

/// Waits until a call has begun to run.
pub async fn wait_for_run(fleet: &Fleet, call: &str) {
    let look = || async { if runs(fleet, call) > 0 { Ok(()) } else { Err("no run".to_owned()) } };
    fleet.wait_until("a call runs", LIMIT, look).await.unwrap();
}

/// Switches one fault on, or all off, at all stand-ins of a kind.
pub async fn fault(fleet: &Fleet, kind: ProcessKind, fault: Option<FaultRule>) {
    let faults = Faults { rules: fault.into_iter().collect(), ..Faults::default() };
    for stand_in in fleet.names(kind) {
        fleet.set_faults(stand_in, &faults).await.unwrap();
    }
}

/// A fault that makes every request take longer.
pub fn slow(millis: u64) -> FaultRule {
    FaultRule { millis, ..FaultRule::always(FaultKind::Slow) }
}

async fn admin(fleet: &Fleet, path: &str) -> Result<Value, String> {
    let ask = Ask::new(http::Method::GET, path);
    let answer = HttpClient::default().ask(fleet.gateway(0), &ask).await;
    answer.and_then(|answer| answer.json()).map_err(|error| error.to_string())
}

/// The store that leads the shard of a program.
pub async fn shard_leader(fleet: &Fleet, program: &str) -> ProcessName {
    let group = shard_of(program).to_string();
    let found = std::sync::Mutex::new(None);
    let look = || async {
        let shards = admin(fleet, "/admin/v1/shards").await?;
        let members = admin(fleet, "/admin/v1/members").await?;
        let shard = array(&shards).iter().find(|shard| shard["group"] == group.as_str());
        let leader = shard.map(|shard| shard["leader"].clone()).unwrap_or_default();
        let member = array(&members).iter().find(|member| member["node"] == leader);
        let http = member.and_then(|member| member["http"].as_str());
        let mut stores = fleet.names(ProcessKind::Store).into_iter();
        let store =
            stores.find(|s| Some(fleet.http_address(*s).unwrap().to_string().as_str()) == http);
        *found.lock().unwrap() = store;
        store.map(drop).ok_or_else(|| format!("group {group} in {shards}, {members}"))
    };
    fleet.wait_until("a shard has a leader", LIMIT, look).await.unwrap();
    found.into_inner().unwrap().unwrap()
}

fn array(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// Runs a turn to its end, which must be `finished`.
pub async fn finish(caller: &Caller, session: &SessionRef, turn: &TurnRequest) -> Transcript {
    let transcript = caller.run_turn(0, session, turn).await.unwrap();
    transcript.check(&turn.turn).unwrap();
    assert_eq!(transcript.end(), "finished", "{transcript:?}");
    transcript
}

/// Whether the text of an ended turn is what a model server made for it: all of it, or its beginning
/// where the turn was cut short.
pub fn made_by_model(fleet: &Fleet, of: &SessionRef, name: &str, seen: &Transcript) -> bool {
    let (shown, key) = (seen.text(), format!("{}/{}", of.program, of.session));
    fleet.ledgers(ProcessKind::Model).unwrap().iter().any(|line| match &line.entry {
        LedgerEntry::GenerationEnded { session, turn, text, .. } => {
            let whole = seen.end() != "finished" || text.len() == shown.len();
            *session == key && turn == name && text.starts_with(&shown) && whole
        }
        _ => false,
    })
}

/// Waits until a model server has written down what it made for an ended turn.
pub async fn check_text(fleet: &Fleet, session: &SessionRef, turn: &str, seen: &Transcript) {
    let look = || async {
        if made_by_model(fleet, session, turn, seen) { Ok(()) } else { Err(seen.text()) }
    };
    fleet.wait_until("a model server made the text shown", LIMIT, look).await.unwrap();
}

/// How often model servers began to generate a turn.
pub fn generations(fleet: &Fleet, of: &SessionRef, name: &str) -> usize {
    let key = format!("{}/{}", of.program, of.session);
    let began = |entry: &LedgerEntry| match entry {
        LedgerEntry::GenerationBegan { session, turn, .. } => *session == key && turn == name,
        _ => false,
    };
    let lines = fleet.ledgers(ProcessKind::Model).unwrap();
    lines.iter().filter(|line| began(&line.entry)).count()
}
