//! Engine leases. The state machine only counts renewals; the group's leader measures time.

use hooklug_types::{EngineIncarnation, Renewal};

use super::command::{ShardRefusal, ShardReply};
use super::machine::{CommandResult, ShardMachine};
use super::query::LeaseRecord;

impl ShardMachine {
    /// Renews a lease, or starts it. An expired lease stays expired.
    pub(super) fn renew_lease(&mut self, holder: EngineIncarnation) -> CommandResult {
        let lease = self.state.leases.entry(holder.clone()).or_insert(LeaseRecord {
            holder,
            renewal: Renewal(0),
            expired: false,
        });
        if lease.expired {
            return Err(ShardRefusal::LeaseExpired);
        }
        lease.renewal = lease.renewal.next();
        Ok(ShardReply::Lease(lease.clone()))
    }

    /// Expires a lease, unless it was renewed after the renewal that the decision is based on. A
    /// lease that was never granted is recorded as expired, so that its holder cannot start it
    /// afterwards.
    pub(super) fn expire_lease(
        &mut self,
        holder: EngineIncarnation,
        observed: Renewal,
    ) -> CommandResult {
        let lease = self.state.leases.entry(holder.clone()).or_insert(LeaseRecord {
            holder,
            renewal: observed,
            expired: true,
        });
        if !lease.expired && lease.renewal != observed {
            return Err(ShardRefusal::LeaseRenewed);
        }
        lease.expired = true;
        Ok(ShardReply::Lease(lease.clone()))
    }
}
