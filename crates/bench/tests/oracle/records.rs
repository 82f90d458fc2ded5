//! Records of a run without violations.

use hooklug_bench::oracle::evidence::{
    BundleRead, CallClaim, CallRecord, Evidence, OwnerObservation, ProgramRecord, Recovery,
    SessionRecord, SubmissionOutcome, SubmissionRecord, TurnClaim, TurnRecord, VersionObservation,
};
use hooklug_emulator::{LedgerEntry, LedgerLine};
use hooklug_fleet::caller::StreamEvent;
use hooklug_types::UnixMillis;
use serde_json::{Value, json};

pub const CALL: &str = "p/c1";
pub const SESSION: &str = "p/s";

pub fn ledger_line(at: u64, engine: &str, version: &str, entry: LedgerEntry) -> LedgerLine {
    let identity = format!("service/{engine}/7");
    LedgerLine { at: UnixMillis(at), identity, version: version.to_owned(), entry }
}

pub fn call_ran(at: u64, engine: &str, version: &str, call: &str) -> LedgerLine {
    let (call, attempt) = (call.to_owned(), "1".to_owned());
    let (tool, request) = ("send_alarm".to_owned(), "r".to_owned());
    ledger_line(
        at,
        engine,
        version,
        LedgerEntry::CallRan { call, attempt, tool, request, times: 1 },
    )
}

pub fn generation(engine: &str, turn: &str, text: &str, tokens: u64, end: &str) -> [LedgerLine; 2] {
    let (session, request) = (SESSION.to_owned(), format!("r-{turn}"));
    let began = LedgerEntry::GenerationBegan {
        request: request.clone(),
        session: session.clone(),
        turn: turn.to_owned(),
        prefix: None,
        prefix_hit: false,
        uncached_tokens: 0,
    };
    let ended = LedgerEntry::GenerationEnded {
        request,
        session,
        turn: turn.to_owned(),
        text: text.to_owned(),
        tokens,
        end: end.to_owned(),
    };
    [ledger_line(10, engine, "v1", began), ledger_line(20, engine, "v1", ended)]
}

pub fn event(id: u64, event: &str, data: Value) -> StreamEvent {
    StreamEvent { id, event: event.to_owned(), data }
}

pub fn events() -> Vec<StreamEvent> {
    vec![
        event(1, "turn", json!({"turn": "t1", "after": null, "input": "?"})),
        event(2, "tokens", json!({"turn": "t1", "text": "vent ", "count": 1})),
        event(3, "tokens", json!({"turn": "t1", "text": "now ", "count": 1})),
        event(4, "finished", json!({"turn": "t1", "tokens": 2})),
    ]
}

pub fn turn(
    name: &str,
    after: Option<&str>,
    events: Vec<StreamEvent>,
    claim: TurnClaim,
) -> TurnRecord {
    TurnRecord {
        session: SESSION.to_owned(),
        turn: name.to_owned(),
        after: after.map(str::to_owned),
        sent_at: 5,
        ended_at: 30,
        events,
        ended_without_terminal: false,
        claim,
        first_token_ms: None,
        gaps_ms: Vec::new(),
        cuts: 0,
    }
}

pub fn submission(
    version: u64,
    digest: &str,
    at: u64,
    outcome: SubmissionOutcome,
) -> SubmissionRecord {
    let (base, digest) = (version - 1, digest.to_owned());
    SubmissionRecord { version, base, digest, sent_at: at, answered_at: at + 10, outcome }
}

pub fn answer_body() -> Value {
    json!({"tool": "send_alarm", "call": CALL, "times": 1, "arguments": {"house": 4}, "engine": "app-0"})
}

/// Returns the records of a run without violations.
pub fn valid_evidence() -> Evidence {
    let mut evidence = Evidence::default();
    let program = ProgramRecord { budget: 10, max_turn_tokens: 4, booked: Some(2) };
    evidence.programs.insert("p".to_owned(), program);
    let owner =
        OwnerObservation { owner: "engine-0".to_owned(), epoch: 1, sent_at: 4, opened: true };
    let history = Some(events());
    let session = SessionRecord { owners: vec![owner], joined: vec![events()], history };
    evidence.sessions.insert(SESSION.to_owned(), session);
    evidence.turns.push(turn("t1", None, events(), TurnClaim::Ended("finished".to_owned())));
    let refused = TurnClaim::Refused("budget_spent".to_owned());
    evidence.turns.push(turn("t2", Some("t1"), Vec::new(), refused));
    evidence.calls.push(CallRecord {
        call: CALL.to_owned(),
        tool: "send_alarm".to_owned(),
        arguments: json!({"house": 4}),
        may_repeat: false,
        sent_at: 40,
        ended_at: 50,
        claims: vec![CallClaim::Answered { status: 200, body: answer_body() }],
    });
    evidence.application_ledgers.push(call_ran(45, "app-0", "v1", CALL));
    evidence.model_ledgers.extend(generation("model-0", "t1", "vent now ", 2, "stop"));
    evidence.submissions.push(submission(2, "a", 100, SubmissionOutcome::Acknowledged));
    evidence.submissions.push(submission(2, "b", 105, SubmissionOutcome::Refused("race".into())));
    evidence.submissions.push(submission(2, "a", 150, SubmissionOutcome::Acknowledged));
    evidence.installed_versions.push(installed_version(120, 1));
    evidence.installed_versions.push(installed_version(2_200, 2));
    evidence.bundle_reads.push(BundleRead { sent_at: 200, version: 2 });
    evidence.recoveries.push(Recovery {
        fault: "x".into(),
        fault_ended_at: 0,
        served_at: Some(11_000),
    });
    evidence
}

pub fn installed_version(sent_at: u64, version: u64) -> VersionObservation {
    VersionObservation { node: "gateway:0".to_owned(), sent_at, version }
}
