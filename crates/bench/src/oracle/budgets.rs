//! Checks that a program streams at most its budget plus one turn, and that all streamed tokens
//! were booked.

use std::collections::BTreeMap;

use hooklug_fleet::caller::StreamEvent;

use super::evidence::Evidence;
use super::{Promise, Verdict};

pub(super) fn check(evidence: &Evidence, verdict: &mut Verdict) {
    let streamed = streamed_tokens(evidence);
    for (name, program) in &evidence.programs {
        verdict.add_examined("budgets", 1);
        let streamed = streamed.get(name.as_str()).copied().unwrap_or(0);
        let limit = program.budget + program.max_turn_tokens;
        if streamed > limit {
            let detail = format!(
                "{streamed} tokens streamed, which exceeds the budget of {} plus one turn",
                program.budget
            );
            verdict.add_violation(Promise::TokenBudget, name, detail);
        }
        if let Some(booked) = program.booked.filter(|booked| *booked < streamed) {
            let detail = format!("{streamed} tokens streamed, but only {booked} booked");
            verdict.add_violation(Promise::TokenBudget, name, detail);
        }
    }
}

/// Sums the streamed tokens by program. An event that several clients received counts once.
fn streamed_tokens(evidence: &Evidence) -> BTreeMap<&str, u64> {
    let mut token_counts: BTreeMap<(&str, u64), u64> = BTreeMap::new();
    for (session, event) in all_events(evidence) {
        if let Some(tokens) = event.data["count"].as_u64() {
            token_counts.insert((session, event.id), tokens);
        }
    }
    let mut programs = BTreeMap::new();
    for ((session, _), tokens) in token_counts {
        let program = session.split('/').next().unwrap_or_default();
        *programs.entry(program).or_insert(0) += tokens;
    }
    programs
}

fn all_events(evidence: &Evidence) -> impl Iterator<Item = (&str, &StreamEvent)> {
    let turns = evidence.turns.iter().map(|turn| (turn.session.as_str(), &turn.events));
    let sessions = evidence.sessions.iter().flat_map(|(name, session)| {
        session.joined.iter().chain(&session.history).map(move |events| (name.as_str(), events))
    });
    turns.chain(sessions).flat_map(|(name, events)| events.iter().map(move |e| (name, e)))
}
