//! Tests that the oracle reports each kind of violation: valid records are corrupted in one respect
//! each.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

mod records;

use hooklug_bench::oracle::evidence::{
    CallClaim, DrainRecord, Evidence, HarmfulRelease, InjectedFault, OwnerObservation,
    SubmissionOutcome, TurnClaim,
};
use hooklug_bench::oracle::{Promise, judge};
use hooklug_bench::scenario::takeover::takeover_times;
use hooklug_emulator::LedgerEntry;
use hooklug_fleet::caller::StreamEvent;
use hooklug_types::UnixMillis;
use records::{
    CALL, SESSION, answer_body, call_ran, event, events, generation, installed_version,
    ledger_line, turn, valid_evidence,
};
use serde_json::{Value, json};

/// Corrupts valid records and expects violations of exactly one promise.
fn assert_violates(promise: Promise, corrupt: impl FnOnce(&mut Evidence)) {
    let mut evidence = valid_evidence();
    corrupt(&mut evidence);
    let verdict = judge(&evidence);
    assert!(!verdict.violations.is_empty(), "the oracle reported no violation of {promise:?}");
    for violation in verdict.violations {
        assert_eq!(violation.promise, promise, "{violation}");
    }
}

#[test]
fn valid_evidence_has_no_violations_and_exercises_every_check() {
    let verdict = judge(&valid_evidence());
    assert_eq!(verdict.violations, []);
    for what in ["calls that may not be repeated", "answers to calls", "texts of turns", "budgets"]
    {
        assert!(verdict.examined[what] > 0, "{what}");
    }
}

#[test]
fn the_oracle_detects_a_second_run_of_a_call() {
    assert_violates(Promise::AtMostOnce, |e| {
        e.application_ledgers.push(call_ran(9_000, "app-1", "v1", CALL));
    });
}

#[test]
fn the_oracle_detects_a_false_not_run_report() {
    assert_violates(Promise::TrueRefusals, |e| {
        e.calls[0].claims = vec![CallClaim::NotRun("not_run".to_owned())];
        e.application_ledgers[0].at = UnixMillis(90_000);
    });
}

#[test]
fn the_oracle_detects_a_false_budget_refusal() {
    assert_violates(Promise::TrueRefusals, |e| {
        e.model_ledgers.extend(generation("model-0", "t2", "", 0, "aborted"));
    });
}

#[test]
fn the_oracle_detects_foreign_and_truncated_call_responses() {
    let corruptions: [fn(&mut Value); 4] = [
        |body| body["call"] = "p/c2".into(),
        |body| body["arguments"] = json!({}),
        |body| body["engine"] = "app-9".into(),
        |body| *body = Value::String("{\"tool\": \"send_al".to_owned()),
    ];
    for corrupt in corruptions {
        assert_violates(Promise::OwnWholeAnswers, |e| {
            let mut body = answer_body();
            corrupt(&mut body);
            e.calls[0].claims = vec![CallClaim::Answered { status: 200, body }];
        });
    }
}

#[test]
fn the_oracle_detects_differing_responses_to_a_call() {
    assert_violates(Promise::OwnWholeAnswers, |e| {
        let mut body = answer_body();
        body["times"] = 2.into();
        e.calls[0].claims.push(CallClaim::Answered { status: 200, body });
    });
}

#[test]
fn the_oracle_detects_truncated_text_reported_as_finished() {
    assert_violates(Promise::OwnWholeAnswers, |e| {
        e.model_ledgers.truncate(0);
        e.model_ledgers.extend(generation("model-0", "t1", "vent now wait ", 3, "stop"));
    });
    assert_violates(Promise::OwnWholeAnswers, |e| {
        e.model_ledgers.truncate(0);
        e.model_ledgers.extend(generation("model-0", "t1", "vent now ", 2, "aborted"));
    });
}

#[test]
fn the_oracle_detects_text_of_another_request() {
    assert_violates(Promise::OwnWholeAnswers, |e| {
        e.model_ledgers.truncate(0);
        e.model_ledgers.extend(generation("model-0", "t1", "vent now ", 2, "crossed"));
    });
    assert_violates(Promise::OwnWholeAnswers, |e| {
        e.model_ledgers.truncate(0);
        e.model_ledgers.extend(generation("model-0", "t1", "heat up ", 2, "aborted"));
        let end = event(4, "interrupted", json!({"turn": "t1", "tokens": 2}));
        replace_event(e, &end);
        e.turns[0].claim = TurnClaim::Ended("interrupted".to_owned());
    });
}

/// Replaces an event in every stream that contains it.
fn replace_event(evidence: &mut Evidence, by: &StreamEvent) {
    let sessions = evidence.sessions.values_mut();
    let streams = sessions.flat_map(|s| s.joined.iter_mut().chain(s.history.as_mut()));
    for event in streams.chain(evidence.turns.iter_mut().map(|t| &mut t.events)).flatten() {
        if event.id == by.id {
            *event = by.clone();
        }
    }
}

#[test]
fn the_oracle_detects_lost_repeated_and_spliced_events() {
    assert_violates(Promise::ExactStreams, |e| {
        e.turns[0].events.remove(1);
        // The text is shortened too. The ledger is adapted to it, so that the check of texts does
        // not report it first.
        e.model_ledgers.truncate(0);
        e.model_ledgers.extend(generation("model-0", "t1", "now ", 1, "stop"));
    });
    assert_violates(Promise::ExactStreams, |e| {
        let again = e.turns[0].events[2].clone();
        e.turns[0].events.insert(3, again);
        // The text is extended too. The ledger is adapted to it, so that the check of texts does
        // not report it first.
        e.model_ledgers.truncate(0);
        e.model_ledgers.extend(generation("model-0", "t1", "vent now now ", 3, "stop"));
    });
    assert_violates(Promise::ExactStreams, |e| {
        e.turns[0].events[2].data["turn"] = "t0".into();
        e.sessions.clear();
    });
}

#[test]
fn the_oracle_detects_a_stream_without_a_terminal_event() {
    assert_violates(Promise::ExactStreams, |e| e.turns[0].ended_without_terminal = true);
}

#[test]
fn the_oracle_detects_an_event_released_before_commit() {
    assert_violates(Promise::ExactStreams, |e| {
        // The previous owner showed a second token that was never committed; the new owner stored
        // the end of the turn at its id.
        let session = e.sessions.get_mut(SESSION).unwrap();
        session.joined.clear();
        let end = event(3, "interrupted", json!({"turn": "t1", "tokens": 1}));
        session.history = Some(vec![events()[0].clone(), events()[1].clone(), end]);
        e.turns[0].events.truncate(3);
        e.turns[0].claim = TurnClaim::Inconclusive("cut".to_owned());
    });
}

#[test]
fn the_oracle_detects_clients_with_differing_events() {
    assert_violates(Promise::ExactStreams, |e| {
        let session = e.sessions.get_mut(SESSION).unwrap();
        session.history = None;
        session.joined[0][1].data["text"] = "heat ".into();
    });
    assert_violates(Promise::ExactStreams, |e| {
        let session = e.sessions.get_mut(SESSION).unwrap();
        session.joined[0].remove(2);
    });
}

#[test]
fn the_oracle_detects_two_session_owners() {
    assert_violates(Promise::SingleOwner, |e| {
        let session = e.sessions.get_mut(SESSION).unwrap();
        let owner = "engine-1".to_owned();
        session.owners.push(OwnerObservation { owner, epoch: 1, sent_at: 60, opened: false });
    });
    assert_violates(Promise::SingleOwner, |e| {
        e.model_ledgers.extend(generation("model-1", "t1", "vent ", 1, "aborted"));
    });
}

#[test]
fn the_oracle_detects_exceeded_budgets_and_wrong_charges() {
    assert_violates(Promise::TokenBudget, |e| {
        e.programs.get_mut("p").unwrap().budget = 0;
        e.programs.get_mut("p").unwrap().max_turn_tokens = 1;
    });
    assert_violates(Promise::TokenBudget, |e| e.programs.get_mut("p").unwrap().booked = Some(1));
}

#[test]
fn the_oracle_detects_a_false_unknown_turn_report() {
    assert_violates(Promise::KnownTurns, |e| {
        e.turns[1].claim = TurnClaim::Refused("no_such_turn".to_owned());
    });
}

#[test]
fn the_oracle_detects_work_at_a_draining_engine() {
    let drain = |engine: &str, started_at| DrainRecord {
        engine: engine.into(),
        started_at,
        ended_at: None,
    };
    assert_violates(Promise::DrainedEngines, |e| {
        e.sessions.get_mut(SESSION).unwrap().owners[0].sent_at = 3_002;
        e.drains.push(drain("engine-0", 1));
    });
    assert_violates(Promise::DrainedEngines, |e| {
        e.drains.push(drain("app-0", 1));
        let refused = LedgerEntry::Refused { call: "p/c9".into(), reason: "draining".into() };
        e.application_ledgers.push(ledger_line(3_002, "app-0", "v1", refused));
    });
}

#[test]
fn the_oracle_detects_a_late_bundle_on_an_undisturbed_node() {
    let late = |e: &mut Evidence| e.installed_versions.push(installed_version(2_400, 1));
    assert_violates(Promise::BundleInForce, |e| {
        e.installed_versions.clear();
        late(e);
    });
    let mut evidence = valid_evidence();
    evidence.installed_versions.clear();
    late(&mut evidence);
    evidence.injected_faults.push(InjectedFault {
        description: "freeze gateway:0".to_owned(),
        targets: vec!["gateway:0".to_owned()],
        started_at: 90,
        ended_at: None,
    });
    assert_eq!(judge(&evidence).violations, []);
}

#[test]
fn the_oracle_detects_a_node_reverting_its_bundle() {
    assert_violates(Promise::BundleInForce, |e| {
        e.installed_versions.insert(1, installed_version(130, 2));
        e.installed_versions.insert(2, installed_version(140, 1));
    });
}

#[test]
fn the_oracle_detects_two_accepted_rivals_and_a_refused_resend() {
    assert_violates(Promise::BundleRaces, |e| {
        e.submissions[1].outcome = SubmissionOutcome::Acknowledged;
    });
    assert_violates(Promise::BundleRaces, |e| {
        e.submissions[2].outcome = SubmissionOutcome::Refused("stale base".to_owned());
    });
}

#[test]
fn the_oracle_detects_an_outdated_bundle_read() {
    assert_violates(Promise::DurableBundles, |e| e.bundle_reads[0].version = 1);
}

#[test]
fn the_oracle_detects_late_traffic_to_a_failing_version() {
    assert_violates(Promise::HarmfulVersions, |e| {
        e.harmful_releases.push(HarmfulRelease { version: "bad".to_owned(), samples: 2 });
        for (at, call) in [(1_000, "p/x"), (2_000, "p/y"), (7_001, "p/z")] {
            e.application_ledgers.push(call_ran(at, "app-5", "bad", call));
        }
    });
}

#[test]
fn the_oracle_detects_late_and_missing_recoveries() {
    assert_violates(Promise::Recovery, |e| e.recoveries[0].served_at = Some(12_001));
    assert_violates(Promise::Recovery, |e| e.recoveries[0].served_at = None);
}

#[test]
fn a_takeover_lasts_until_the_next_turns_first_token() {
    let mut evidence = valid_evidence();
    let targets = vec!["engine-0".to_owned()];
    let kill = InjectedFault {
        description: "kill engine:0".to_owned(),
        targets,
        started_at: 1_000,
        ended_at: None,
    };
    evidence.injected_faults = vec![kill];
    let timed = |name: &str, sent_at: u64, first: f64, end: &str| {
        let ended = TurnClaim::Ended(end.to_owned());
        let mut record = turn(name, None, events(), ended);
        (record.sent_at, record.first_token_ms) = (sent_at, Some(first));
        record
    };
    // One turn before the kill, one that the killed engine had started, and two after it.
    evidence.turns.extend([
        timed("t3", 800, 100.0, "finished"),
        timed("t4", 990, 12.0, "interrupted"),
        timed("t5", 4_400, 50.0, "finished"),
        timed("t6", 5_000, 50.0, "finished"),
    ]);
    assert_eq!(takeover_times(&evidence, "kill"), [3_450.0]);
    assert!(takeover_times(&evidence, "freeze").is_empty());
    // Sessions of an engine that was not affected by the fault are not counted.
    evidence.injected_faults[0].targets = vec!["engine-1".to_owned()];
    assert!(takeover_times(&evidence, "kill").is_empty());
}
