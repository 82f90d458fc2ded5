//! Checks the reasons that callers were given for refused turns.

use std::collections::BTreeSet;

use hooklug_emulator::LedgerEntry;

use super::evidence::{Evidence, TurnClaim, TurnRecord};
use super::{Promise, Verdict};

/// Error codes which mean that a turn did not run and never will.
const FINAL_REFUSALS: [&str; 2] = ["budget_spent", "program_ended"];

pub(super) fn check_refusals(evidence: &Evidence, verdict: &mut Verdict) {
    let started: BTreeSet<(&str, &str)> = evidence
        .model_ledgers
        .iter()
        .filter_map(|line| match &line.entry {
            LedgerEntry::GenerationBegan { session, turn, .. } => {
                Some((session.as_str(), turn.as_str()))
            }
            _ => None,
        })
        .collect();
    for (turn, code) in refused(evidence) {
        if !FINAL_REFUSALS.contains(&code) {
            continue;
        }
        verdict.add_examined("final refusals of turns", 1);
        let was_started = started.contains(&(turn.session.as_str(), turn.turn.as_str()));
        if was_started || !turn.events.is_empty() {
            let subject = format!("{}/{}", turn.session, turn.turn);
            verdict.add_violation(
                Promise::TrueRefusals,
                subject,
                format!("refused with {code}, but it ran"),
            );
        }
    }
}

pub(super) fn check_known_turns(evidence: &Evidence, verdict: &mut Verdict) {
    // Runs are far shorter than the retention time, so that every turn that ended is retained.
    let ended: BTreeSet<(&str, &str)> = evidence
        .turns
        .iter()
        .filter(|turn| matches!(turn.claim, TurnClaim::Ended(_)))
        .map(|turn| (turn.session.as_str(), turn.turn.as_str()))
        .collect();
    let following_turns = evidence.turns.iter().filter(|turn| turn.after.is_some()).count();
    verdict.add_examined("turns that follow another", following_turns);
    for (turn, code) in refused(evidence) {
        let follows_ended_turn =
            turn.after.as_deref().is_some_and(|a| ended.contains(&(&turn.session, a)));
        if follows_ended_turn
            && matches!(code, "no_such_turn" | "no_session" | "no_turn" | "no_program")
        {
            let subject = format!("{}/{}", turn.session, turn.turn);
            let detail = format!("refused with {code}, although turn {:?} had ended", turn.after);
            verdict.add_violation(Promise::KnownTurns, subject, detail);
        }
    }
}

fn refused(evidence: &Evidence) -> impl Iterator<Item = (&TurnRecord, &str)> {
    evidence.turns.iter().filter_map(|turn| match &turn.claim {
        TurnClaim::Refused(code) => Some((turn, code.as_str())),
        _ => None,
    })
}
