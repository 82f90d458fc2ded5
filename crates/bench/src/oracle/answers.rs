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
        .application_ledgers
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
            verdict.add_examined("answers to calls", 1);
            if let Some(error) = find_response_error(call, *status, body, &ran) {
                verdict.add_violation(Promise::OwnWholeAnswers, &call.call, error);
            }
            if !call.may_repeat && first.is_some_and(|first| first != body) {
                let detail = format!("two different responses: {first:?} and {body}");
                verdict.add_violation(Promise::OwnWholeAnswers, &call.call, detail);
            }
            first = first.or(Some(body));
        }
    }
}

/// Returns the engine of an identity of the form `service/engine/incarnation`.
fn engine(identity: &str) -> &str {
    identity.split('/').nth(1).unwrap_or_default()
}

fn find_response_error(
    call: &CallRecord,
    status: u16,
    body: &Value,
    ran: &BTreeSet<(&str, &str)>,
) -> Option<String> {
    if status != 200 {
        return Some(format!(
            "status {status} presented as the application's own response: {body}"
        ));
    }
    let is_same_call = body["call"] == call.call && body["tool"] == call.tool;
    if !is_same_call || body["arguments"] != call.arguments {
        return Some(format!("the response belongs to another call: {body}"));
    }
    let engine = body["engine"].as_str().unwrap_or_default();
    let is_in_ledger = ran.contains(&(call.call.as_str(), engine));
    (!is_in_ledger).then(|| format!("no ledger shows that engine {engine:?} ran the call"))
}

/// The generations that model servers produced for one turn.
#[derive(Debug, Default)]
struct TurnGenerations<'a> {
    ended: Vec<Generation<'a>>,
    started: usize,
}

#[derive(Debug)]
struct Generation<'a> {
    text: &'a str,
    tokens: u64,
    end: &'a str,
}

pub(super) fn check_texts(evidence: &Evidence, verdict: &mut Verdict) {
    let generations = generations_by_turn(evidence);
    for turn in &evidence.turns {
        let TurnClaim::Ended(end) = &turn.claim else { continue };
        verdict.add_examined("texts of turns", 1);
        let generations = generations.get(&(turn.session.as_str(), turn.turn.as_str()));
        if let Some(error) = find_text_error(turn, end, generations) {
            let subject = format!("{}/{}", turn.session, turn.turn);
            verdict.add_violation(Promise::OwnWholeAnswers, subject, error);
        }
    }
}

fn generations_by_turn(evidence: &Evidence) -> BTreeMap<(&str, &str), TurnGenerations<'_>> {
    let mut generations: BTreeMap<(&str, &str), TurnGenerations<'_>> = BTreeMap::new();
    for line in &evidence.model_ledgers {
        match &line.entry {
            LedgerEntry::GenerationBegan { session, turn, .. } => {
                generations.entry((session, turn)).or_default().started += 1;
            }
            LedgerEntry::GenerationEnded { session, turn, text, tokens, end, .. } => {
                let generation = Generation { text, tokens: *tokens, end };
                generations.entry((session, turn)).or_default().ended.push(generation);
            }
            _ => {}
        }
    }
    generations
}

fn find_text_error(
    turn: &TurnRecord,
    end: &str,
    generations: Option<&TurnGenerations<'_>>,
) -> Option<String> {
    let shown_text: String = turn.events.iter().filter_map(|e| e.data["text"].as_str()).collect();
    let tokens: u64 = turn.events.iter().filter_map(|e| e.data["count"].as_u64()).sum();
    let empty = TurnGenerations::default();
    let generations = generations.unwrap_or(&empty);
    let own = || generations.ended.iter().filter(|generation| generation.end != CROSSED);
    if end == "finished" {
        let is_complete = own().any(|g| {
            g.text == shown_text && g.tokens == tokens && matches!(g.end, "stop" | "length")
        });
        return (!is_complete).then(|| {
            format!(
                "finished with {tokens} tokens, but no model server generated this complete text"
            )
        });
    }
    // A model server that was killed recorded no end, so its output cannot be compared.
    let has_unended = generations.started > generations.ended.len();
    let is_prefix =
        shown_text.is_empty() || has_unended || own().any(|g| g.text.starts_with(&shown_text));
    (!is_prefix).then(|| format!("{end} after {tokens} tokens that no model server generated"))
}
