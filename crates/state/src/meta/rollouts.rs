//! Roll-outs that operators order by service and version: asked for, on trial, shifted, and settled.

use hooklug_types::{ServiceName, ServiceVersion, UnixMillis};
use serde::{Deserialize, Serialize};

use super::command::{MetaRefusal, MetaReply};
use super::machine::{MetaMachine, Outcome};

/// Time in which the same order again is the same roll-out, though it may be settled already, in milliseconds (ours:
/// an operator whose acknowledgement was lost asks again within seconds).
const SAME_ORDER_MS: u64 = 15_000;

/// How far a roll-out is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// A share of new requests goes to the target, in thousandths.
    Trial {
        /// The share.
        share_permille: u32,
    },
    /// All new requests go to the target; older engines end what they run.
    Shifted,
    /// The target is the service's version; older engines may go.
    Completed,
    /// The target was found harmful and gets nothing.
    RolledBack,
}

impl RolloutPhase {
    /// Whether nothing more will change.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// A roll-out of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Number of the order, over all services.
    pub number: u64,
    /// The version that it moves to.
    pub target: ServiceVersion,
    /// How far it is.
    pub phase: RolloutPhase,
    /// When it was ordered, by the group's clock.
    pub begun: UnixMillis,
    /// When it should be settled.
    pub due: UnixMillis,
}

impl RolloutRecord {
    /// Whether only a share of requests goes to the target.
    #[must_use]
    pub fn is_on_trial(&self) -> bool {
        matches!(self.phase, RolloutPhase::Trial { .. })
    }
}

impl MetaMachine {
    /// Takes an order. The same order again changes nothing.
    pub(super) fn begin_rollout(
        &mut self,
        service: ServiceName,
        target: ServiceVersion,
        duration_ms: u64,
    ) -> Outcome {
        let clock = self.state.clock;
        let meta = &mut self.state.meta;
        if let Some(known) = meta.rollouts.get(&service) {
            let recent = clock.0 < known.begun.0.saturating_add(SAME_ORDER_MS);
            if known.target == target && (recent || !known.phase.is_final()) {
                return Ok(MetaReply::Done);
            }
        }
        meta.last_rollout += 1;
        let record = RolloutRecord {
            number: meta.last_rollout,
            target,
            phase: RolloutPhase::Trial { share_permille: 0 },
            begun: clock,
            due: clock.plus_millis(duration_ms),
        };
        meta.rollouts.insert(service, record);
        Ok(MetaReply::Done)
    }

    /// Moves a roll-out on; a settled one stays as it is.
    pub(super) fn move_rollout(
        &mut self,
        service: &ServiceName,
        number: u64,
        phase: RolloutPhase,
    ) -> Outcome {
        let known = self.state.meta.rollouts.get_mut(service);
        let Some(known) = known.filter(|known| known.number == number) else {
            return Err(MetaRefusal::NoRollout);
        };
        if !known.phase.is_final() {
            known.phase = phase;
        }
        Ok(MetaReply::Done)
    }
}
