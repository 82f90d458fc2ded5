//! Versions of a service that may receive requests during a rollout. No I/O.

use hooklug_state::meta::{LOAD_STEP_PERMILLE, RolloutPhase, RolloutRecord};
use hooklug_types::ServiceVersion;
use rand::{Rng, RngExt};

/// Versions that may receive one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AllowedVersions {
    /// All versions of the service.
    All,
    /// Only this version.
    Only(ServiceVersion),
    /// Only this version, which is on trial with this share of all requests, in thousandths.
    Trial(ServiceVersion, u32),
    /// All versions of the service except this one.
    AllBut(ServiceVersion),
}

impl AllowedVersions {
    /// Whether a version may receive the request.
    #[must_use]
    pub fn allows(&self, version: &ServiceVersion) -> bool {
        match self {
            Self::All => true,
            Self::Only(only) | Self::Trial(only, _) => only == version,
            Self::AllBut(but) => but != version,
        }
    }

    /// How many of a version's backends may receive the request. In the load step of a trial as many
    /// as will be needed for the same share of requests later, and otherwise all.
    #[must_use]
    pub fn max_backends(&self, backends: usize) -> usize {
        match self {
            Self::Trial(_, share_permille) if *share_permille >= LOAD_STEP_PERMILLE => {
                let share = f64::from(*share_permille) / 1_000.0;
                ((backends as f64 * share).round() as usize).max(1)
            }
            _ => backends,
        }
    }

    /// Selects the allowed versions of one request at random by the phase of the service's rollout.
    pub fn draw(rollout: Option<&RolloutRecord>, rng: &mut impl Rng) -> Self {
        let Some(rollout) = rollout else { return Self::All };
        let target = rollout.target.clone();
        match rollout.phase {
            RolloutPhase::Trial { share_permille } => {
                let is_trial = rng.random_range(0..1_000) < share_permille;
                match is_trial {
                    true => Self::Trial(target, share_permille),
                    false => Self::AllBut(target),
                }
            }
            RolloutPhase::Shifted => Self::Only(target),
            RolloutPhase::Completed => Self::All,
            RolloutPhase::RolledBack => Self::AllBut(target),
        }
    }
}
