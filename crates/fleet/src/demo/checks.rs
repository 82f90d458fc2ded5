//! What must hold at the end, checked against the ledgers of the back ends.

use std::collections::BTreeMap;

use hooklug_emulator::LedgerEntry;

use crate::ProcessKind;

use super::calls::ALARM;
use super::{BUDGET, Demo, DemoError, PROGRAM, SESSION, during, promise};

impl Demo {
    /// How often a call ran, by the ledgers of all application engines.
    pub(super) fn runs_of(&self, call: &str) -> Result<usize, DemoError> {
        Ok(self.runs()?.get(&format!("{PROGRAM}/{call}")).copied().unwrap_or(0))
    }

    fn runs(&self) -> Result<BTreeMap<String, usize>, DemoError> {
        let mut runs = BTreeMap::new();
        for line in self.fleet.ledgers(ProcessKind::App)? {
            if let LedgerEntry::CallRan { call, .. } = line.entry {
                *runs.entry(call).or_insert(0) += 1;
            }
        }
        Ok(runs)
    }

    /// Each turn's text must be what a model server made for it: all of it, or, where the turn was cut
    /// short, its beginning. A model server that was killed has not written what it made last.
    fn check_texts(&self) -> Result<(), DemoError> {
        if self.killed.is_some_and(|name| name.kind == ProcessKind::Model) {
            return Ok(());
        }
        let ledger = self.fleet.ledgers(ProcessKind::Model)?;
        for end in self.seen.iter().filter(|event| event.ends_turn()) {
            let of_turn = self.seen.iter().filter(|event| event.turn() == end.turn());
            let shown: String = of_turn.filter_map(|event| event.data["text"].as_str()).collect();
            let made = ledger.iter().any(|line| match &line.entry {
                LedgerEntry::GenerationEnded { session, turn, text, .. } => {
                    let same = *session == format!("{PROGRAM}/{SESSION}");
                    let whole = end.event != "finished" || text.len() == shown.len();
                    same && end.turn() == Some(turn) && text.starts_with(&shown) && whole
                }
                _ => false,
            });
            promise(made, || format!("no model server made the text of turn {:?}", end.turn()))?;
        }
        Ok(())
    }

    pub(super) async fn check_promises(&mut self) -> Result<String, DemoError> {
        let ran = self.runs_of(ALARM)?;
        promise(ran == 1, || format!("a call that may not be repeated ran {ran} times"))?;
        let program = self.caller.program(1, PROGRAM).await;
        let program = program.map_err(during("the program's ledger is read"))?;
        promise(program.spent == self.tokens && program.reserved == 0, || {
            format!("{} tokens were streamed, the ledger says {program:?}", self.tokens)
        })?;
        self.check_texts()?;
        promise(program.spent <= BUDGET, || format!("{} tokens over budget", program.spent))?;
        Ok(format!(
            "9. promises checked against the back ends' ledgers: {} tokens streamed and booked, no call ran twice",
            program.spent
        ))
    }
}
