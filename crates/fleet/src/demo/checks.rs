//! What must hold at the end, checked against the ledgers of the back ends.

use std::collections::BTreeMap;

use hooklug_emulator::LedgerEntry;

use crate::ProcessKind;

use super::calls::ALARM;
use super::{BUDGET, Demo, DemoError, PROGRAM, during, promise};

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

    pub(super) async fn check_promises(&mut self) -> Result<String, DemoError> {
        let ran = self.runs_of(ALARM)?;
        promise(ran == 1, || format!("a call that may not be repeated ran {ran} times"))?;
        let program = self.caller.program(1, PROGRAM).await;
        let program = program.map_err(during("the program's ledger is read"))?;
        promise(program.spent == self.tokens && program.reserved == 0, || {
            format!("{} tokens were streamed, the ledger says {program:?}", self.tokens)
        })?;
        promise(program.spent <= BUDGET, || format!("{} tokens over budget", program.spent))?;
        Ok(format!(
            "9. promises checked against the back ends' ledgers: {} tokens streamed and booked, no call ran twice",
            program.spent
        ))
    }
}
