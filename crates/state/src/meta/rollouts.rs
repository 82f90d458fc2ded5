//! Rollouts of service versions, started by operators, and their phases: trial, shifted, and
//! completed or rolled back.

use hooklug_types::{ServiceName, ServiceVersion, UnixMillis};
use serde::{Deserialize, Serialize};

use super::command::{MetaRefusal, MetaReply};
use super::machine::{CommandResult, MetaMachine};

/// Time in milliseconds within which a repeated request is the same rollout, even if that has
/// already ended. An operator whose acknowledgement was lost retries within seconds.
const RESEND_WINDOW_MS: u64 = 15_000;

/// Phase of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// A share of the new requests goes to the target version.
    Trial {
        /// The share, in thousandths.
        share_permille: u32,
    },
    /// All new requests go to the target version; older engines finish their running work.
    Shifted,
    /// The rollout is complete; engines of older versions may be removed.
    Completed,
    /// The target version was rolled back after a regression and receives no requests.
    RolledBack,
}

/// Share of requests, in thousandths, from which a trial loads a part of the target's engines as they
/// will be loaded later, instead of all of them lightly.
pub const LOAD_STEP_PERMILLE: u32 = 100;

impl RolloutPhase {
    /// Whether many requests go to some engines of the target, so that harm has to be found soon.
    #[must_use]
    pub fn is_heavy(self) -> bool {
        match self {
            Self::Trial { share_permille } => share_permille >= LOAD_STEP_PERMILLE,
            Self::Shifted => true,
            Self::Completed | Self::RolledBack => false,
        }
    }

    /// Whether this phase is final.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// A rollout of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Number of the rollout, unique over all services.
    pub number: u64,
    /// The target version.
    pub target: ServiceVersion,
    /// Current phase.
    pub phase: RolloutPhase,
    /// Start time, by the group's clock.
    pub started_at: UnixMillis,
    /// Time by which the rollout should be complete.
    pub due: UnixMillis,
}

impl RolloutRecord {
    /// Whether the rollout is in its trial phase.
    #[must_use]
    pub fn is_on_trial(&self) -> bool {
        matches!(self.phase, RolloutPhase::Trial { .. })
    }
}

impl MetaMachine {
    /// Starts a rollout. A repeated request changes nothing.
    pub(super) fn begin_rollout(
        &mut self,
        service: ServiceName,
        target: ServiceVersion,
        duration_ms: u64,
    ) -> CommandResult {
        let clock = self.state.clock;
        let meta = &mut self.state.meta;
        if let Some(existing) = meta.rollouts.get(&service) {
            let recent = clock.0 < existing.started_at.0.saturating_add(RESEND_WINDOW_MS);
            if existing.target == target && (recent || !existing.phase.is_final()) {
                return Ok(MetaReply::Done);
            }
        }
        meta.last_rollout += 1;
        let record = RolloutRecord {
            number: meta.last_rollout,
            target,
            phase: RolloutPhase::Trial { share_permille: 0 },
            started_at: clock,
            due: clock.plus_millis(duration_ms),
        };
        meta.rollouts.insert(service, record);
        Ok(MetaReply::Done)
    }

    /// Moves a rollout to another phase. A final phase does not change.
    pub(super) fn move_rollout(
        &mut self,
        service: &ServiceName,
        number: u64,
        phase: RolloutPhase,
    ) -> CommandResult {
        let existing = self.state.meta.rollouts.get_mut(service);
        let Some(existing) = existing.filter(|existing| existing.number == number) else {
            return Err(MetaRefusal::NoRollout);
        };
        if !existing.phase.is_final() {
            existing.phase = phase;
        }
        Ok(MetaReply::Done)
    }
}
