//! Which versions of a service may get requests, by the roll-outs under way. Pure.

use hooklug_state::meta::{RolloutPhase, RolloutRecord};
use hooklug_types::ServiceVersion;
use rand::{Rng, RngExt};

/// Versions that one request may go to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AllowedVersions {
    /// Any.
    All,
    /// Only this one.
    Only(ServiceVersion),
    /// Any but this one.
    AllBut(ServiceVersion),
}

impl AllowedVersions {
    /// Whether a version may get the request.
    #[must_use]
    pub fn allows(&self, version: &ServiceVersion) -> bool {
        match self {
            Self::All => true,
            Self::Only(only) => only == version,
            Self::AllBut(but) => but != version,
        }
    }

    /// Draws the versions of one request of a service with this roll-out.
    pub fn draw(rollout: Option<&RolloutRecord>, rng: &mut impl Rng) -> Self {
        let Some(rollout) = rollout else { return Self::All };
        let target = rollout.target.clone();
        match rollout.phase {
            RolloutPhase::Trial { share_permille } => {
                let is_trial = rng.random_range(0..1_000) < share_permille;
                if is_trial { Self::Only(target) } else { Self::AllBut(target) }
            }
            RolloutPhase::Shifted => Self::Only(target),
            RolloutPhase::Completed => Self::All,
            RolloutPhase::RolledBack => Self::AllBut(target),
        }
    }
}
