//! What stand-ins wrote down, and their faults.

use hooklug_emulator::{FaultKind, FaultRule, Faults, LedgerEntry};
use hooklug_fleet::caller::{SessionRef, Transcript};
use hooklug_fleet::{Fleet, ProcessKind, ProcessName};

use super::PATIENCE;

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
    fleet.wait_until("a call runs", PATIENCE, look).await.unwrap();
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

/// Whether the text of an ended turn is what a model server made for it: all of it, or its
/// beginning where the turn was cut short.
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
    fleet.wait_until("a model server made the text shown", PATIENCE, look).await.unwrap();
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
