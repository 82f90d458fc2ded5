//! The core leader's lease. Each leadership has its own fencing epoch.

use hooklug_types::{FencingEpoch, Renewal};

use super::command::{MetaRefusal, MetaReply};
use super::machine::{CommandResult, MetaMachine};
use super::record::CoreLeader;

impl MetaMachine {
    /// Grants the leadership to a candidate if the former lease has expired. A repeated request of
    /// the current leader returns its existing leadership.
    pub(super) fn acquire_leadership(
        &mut self,
        candidate: CoreLeader,
        seen: FencingEpoch,
    ) -> CommandResult {
        let leader = &mut self.state.meta.leader;
        if let Some(present) = leader.as_ref().filter(|l| !l.expired) {
            let own =
                present.core == candidate.core && present.incarnation == candidate.incarnation;
            return match own {
                true => Ok(MetaReply::Leader(present.clone())),
                false => Err(MetaRefusal::LeaderAlive { leader: present.clone() }),
            };
        }
        let current = leader.as_ref().map(|l| l.epoch).unwrap_or_default();
        if current != seen {
            return Err(MetaRefusal::StaleFencing { current });
        }
        *leader = Some(candidate.clone());
        Ok(MetaReply::Leader(candidate))
    }

    /// Renews the lease with this epoch. An expired lease stays expired.
    pub(super) fn renew_leadership(&mut self, epoch: FencingEpoch) -> CommandResult {
        let stale = self.stale_fencing();
        match &mut self.state.meta.leader {
            Some(leader) if leader.epoch == epoch && !leader.expired => {
                leader.renewal = leader.renewal.next();
                Ok(MetaReply::Leader(leader.clone()))
            }
            _ => Err(stale),
        }
    }

    /// Expires the lease with this epoch, unless it was renewed after the renewal that the decision
    /// is based on.
    pub(super) fn expire_leadership(
        &mut self,
        epoch: FencingEpoch,
        observed: Renewal,
    ) -> CommandResult {
        let stale = self.stale_fencing();
        match &mut self.state.meta.leader {
            Some(leader) if leader.epoch == epoch => {
                if !leader.expired && leader.renewal != observed {
                    return Err(MetaRefusal::Renewed);
                }
                leader.expired = true;
                Ok(MetaReply::Leader(leader.clone()))
            }
            _ => Err(stale),
        }
    }
}
