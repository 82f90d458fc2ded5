//! Versions of a service that may receive requests during a rollout. No I/O.

use hooklug_state::meta::{RolloutPhase, RolloutRecord};
use hooklug_types::ServiceVersion;
use rand::{Rng, RngExt};

/// Versions that may receive one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AllowedVersions {
    /// All versions of the service.
    All,
    /// Only this version.
    Only(ServiceVersion),
    /// All versions of the service except this one.
    AllBut(ServiceVersion),
}

impl AllowedVersions {
    /// Whether a version may receive the request.
    #[must_use]
    pub fn allows(&self, version: &ServiceVersion) -> bool {
        match self {
            Self::All => true,
            Self::Only(only) => only == version,
            Self::AllBut(but) => but != version,
        }
    }

    /// Selects the allowed versions of one request at random by the phase of the service's rollout.
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
