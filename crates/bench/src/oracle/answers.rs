//! Checks that each complete-looking response is the backend's own, belongs to the request and is
//! complete.

use std::collections::{BTreeMap, BTreeSet};

use hooklug_emulator::LedgerEntry;
use serde_json::Value;

use super::evidence::{CallClaim, CallRecord, Evidence, TurnClaim, TurnRecord};
use super::{Promise, Verdict};

/// Marks a generation in a model server's ledger whose stream carried lines of another request.
const CROSSED: &str = "crossed";

pub(super) fn check_calls(evidence: &Evidence, verdict: &mut Verdict) {
    let ran: BTreeSet<(&str, &str)> = evidence
        .applications
        .iter()
        .filter_map(|line| match &line.entry {
            LedgerEntry::CallRan { call, .. } => Some((call.as_str(), engine(&line.identity))),
            _ => None,
        })
        .collect();
    for call in &evidence.calls {
        let mut first: Option<&Value> = None;
        for claim in &call.claims {
            let CallClaim::Answered { status, body } = claim else { continue };
            verdict.examined("answers to calls", 1);
            if let Some(fault) = fault_of_answer(call, *status, body, &ran) {
                verdict.add(Promise::OwnWholeAnswers, &call.call, fault);
            }
            if !call.may_repeat && first.is_some_and(|first| first != body) {
                let detail = format!("two answers: {first:?} and {body}");
                verdict.add(Promise::OwnWholeAnswers, &call.call, detail);
            }
            first = first.or(Some(body));
        }
    }
}

/// Returns the engine of an identity of the form `service/engine/incarnation`.
fn engine(identity: &str) -> &str {
    identity.split('/').nth(1).unwrap_or_default()
}

fn fault_of_answer(
    call: &CallRecord,
    status: u16,
    body: &Value,
    ran: &BTreeSet<(&str, &str)>,
) -> Option<String> {
    if status != 200 {
        return Some(format!("status {status} shown as the application's own answer: {body}"));
    }
    let same = body["call"] == call.call && body["tool"] == call.tool;
    if !same || body["arguments"] != call.arguments {
        return Some(format!("the answer belongs to another call: {body}"));
    }
    let by = body["engine"].as_str().unwrap_or_default();
    let known = ran.contains(&(call.call.as_str(), by));
    (!known).then(|| format!("no ledger shows that {by:?} ran it"))
}

/// The generations that model servers produced for one turn.
#[derive(Debug, Default)]
struct Made<'a> {
    texts: Vec<Generated<'a>>,
    began: usize,
}

#[derive(Debug)]
struct Generated<'a> {
    text: &'a str,
    tokens: u64,
    end: &'a str,
}

pub(super) fn check_texts(evidence: &Evidence, verdict: &mut Verdict) {
    let made = made(evidence);
    for turn in &evidence.turns {
        let TurnClaim::Ended(end) = &turn.claim else { continue };
        verdict.examined("texts of turns", 1);
        let made = made.get(&(turn.session.as_str(), turn.turn.as_str()));
        if let Some(fault) = fault_of_text(turn, end, made) {
            let subject = format!("{}/{}", turn.session, turn.turn);
            verdict.add(Promise::OwnWholeAnswers, subject, fault);
        }
    }
}

fn made(evidence: &Evidence) -> BTreeMap<(&str, &str), Made<'_>> {
    let mut made: BTreeMap<(&str, &str), Made<'_>> = BTreeMap::new();
    for line in &evidence.models {
        match &line.entry {
            LedgerEntry::GenerationBegan { session, turn, .. } => {
                made.entry((session, turn)).or_default().began += 1;
            }
            LedgerEntry::GenerationEnded { session, turn, text, tokens, end, .. } => {
                let generated = Generated { text, tokens: *tokens, end };
                made.entry((session, turn)).or_default().texts.push(generated);
            }
            _ => {}
        }
    }
    made
}

fn fault_of_text(turn: &TurnRecord, end: &str, made: Option<&Made<'_>>) -> Option<String> {
    let shown: String = turn.events.iter().filter_map(|e| e.data["text"].as_str()).collect();
    let tokens: u64 = turn.events.iter().filter_map(|e| e.data["count"].as_u64()).sum();
    let empty = Made::default();
    let made = made.unwrap_or(&empty);
    let own = || made.texts.iter().filter(|generated| generated.end != CROSSED);
    if end == "finished" {
        let whole = own()
            .any(|g| g.text == shown && g.tokens == tokens && matches!(g.end, "stop" | "length"));
        return (!whole)
            .then(|| format!("finished with {tokens} tokens that no server made whole"));
    }
    // A model server that was killed recorded no end, so its output cannot be compared.
    let unended = made.began > made.texts.len();
    let begins = shown.is_empty() || unended || own().any(|g| g.text.starts_with(&shown));
    (!begins).then(|| format!("{end} after {tokens} tokens that no server made"))
}
