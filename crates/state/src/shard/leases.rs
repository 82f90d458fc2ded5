//! Engine leases. The machine holds counts of renewals only; time is the group leader's affair.

use hooklug_types::{EngineIncarnation, Renewal};

use super::command::{ShardRefusal, ShardReply};
use super::machine::{Outcome, ShardMachine};
use super::query::LeaseRecord;

impl ShardMachine {
    /// Renews a lease, or starts it. An expired one stays expired.
    pub(super) fn renew_lease(&mut self, holder: EngineIncarnation) -> Outcome {
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

    /// Ends a lease unless it was renewed after the renewal that was judged. One that was never
    /// granted is recorded as expired, so that its holder can't start it afterwards.
    pub(super) fn expire_lease(&mut self, holder: EngineIncarnation, judged: Renewal) -> Outcome {
        let lease = self.state.leases.entry(holder.clone()).or_insert(LeaseRecord {
            holder,
            renewal: judged,
            expired: true,
        });
        if !lease.expired && lease.renewal != judged {
            return Err(ShardRefusal::LeaseRenewed);
        }
        lease.expired = true;
        Ok(ShardReply::Lease(lease.clone()))
    }
}
