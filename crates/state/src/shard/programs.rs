//! Programs and their token ledgers: the budget with its spent and reserved parts.

use std::collections::BTreeMap;

use hooklug_types::{TokenCount, UnixMillis};

use super::command::{PutProgram, ShardRefusal, ShardReply};
use super::expiry::ExpiryItem;
use super::machine::{ProgramEntry, ShardMachine};
use super::query::ProgramRecord;

impl ShardMachine {
    /// Declares a program. The window group is not compared in a resend, because it comes from the
    /// tenant's entry, which may change between a request and its resend; the first value is
    /// retained.
    pub(super) fn put_program(&mut self, put: PutProgram) -> ShardReply {
        if let Some(entry) = self.state.programs.get(&put.program) {
            return match entry.record.matches_declaration(&put) {
                true => ShardReply::Program(entry.record.clone()),
                false => ShardReply::Refused(ShardRefusal::ProgramDiffers),
            };
        }
        let record = ProgramRecord {
            program: put.program.clone(),
            tenant: put.tenant,
            group: put.group,
            token_budget: put.token_budget,
            spent: TokenCount(0),
            reserved: TokenCount(0),
            end_time: put.end_time,
        };
        let expires_at = self.state.clock.max(put.end_time).plus(self.retention);
        self.schedule_expiry(expires_at, ExpiryItem::Program(put.program.clone()));
        let entry = ProgramEntry {
            record: record.clone(),
            sessions: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_ended: self.state.clock,
        };
        self.state.programs.insert(put.program, entry.into());
        ShardReply::Program(record)
    }
}

impl ProgramRecord {
    fn matches_declaration(&self, put: &PutProgram) -> bool {
        self.tenant == put.tenant
            && self.token_budget == put.token_budget
            && self.end_time == put.end_time
    }

    /// Reserves up to `requested` tokens for a turn that starts at `now`.
    ///
    /// # Errors
    /// `ProgramEnded` and `BudgetSpent` are final; `BudgetReserved` is temporary.
    pub(super) fn reserve(
        &mut self,
        requested: TokenCount,
        now: UnixMillis,
    ) -> Result<TokenCount, ShardRefusal> {
        if now >= self.end_time {
            return Err(ShardRefusal::ProgramEnded);
        }
        if self.spent >= self.token_budget {
            return Err(ShardRefusal::BudgetSpent);
        }
        let unspent = self.token_budget.0 - self.spent.0;
        let free = unspent.saturating_sub(self.reserved.0);
        if free == 0 {
            return Err(ShardRefusal::BudgetReserved);
        }
        let granted = TokenCount(requested.0.min(free));
        self.reserved.0 += granted.0;
        Ok(granted)
    }

    /// Releases a reservation and adds the tokens that were streamed under it to the spent tokens.
    pub(super) fn settle(&mut self, reserved: TokenCount, streamed: TokenCount) {
        self.reserved.0 = self.reserved.0.saturating_sub(reserved.0);
        self.spent.0 = self.spent.0.saturating_add(streamed.0);
    }
}
