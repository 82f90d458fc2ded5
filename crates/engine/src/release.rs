//! The release state of this engine's version under the installed bundle. No I/O.

use std::time::Duration;

use hooklug_bundle::{Bundle, VersionState};
use hooklug_types::{ServiceName, ServiceVersion};

/// Release state of an engine's version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseState {
    /// No bundle is installed yet.
    NoBundle,
    /// Neither this bundle nor an earlier one lists the version: it is not released yet.
    Unlisted,
    /// The newest healthy version: it accepts new sessions.
    Current,
    /// A newer healthy version exists, or the version is no longer listed: it keeps its sessions and
    /// accepts no new ones.
    Superseded,
    /// The version was rolled back because of a regression: its sessions are handed over between
    /// turns.
    RolledBack,
}

impl ReleaseState {
    /// Whether the engine accepts no new sessions and exits once it holds none.
    #[must_use]
    pub fn drains(self) -> bool {
        matches!(self, Self::Superseded | Self::RolledBack)
    }

    /// The state of a version under a bundle, given its previous state.
    #[must_use]
    pub fn for_bundle(
        bundle: Option<&Bundle>,
        service: &ServiceName,
        version: &ServiceVersion,
        previous: Self,
    ) -> Self {
        let Some(bundle) = bundle else { return previous };
        let entry = bundle.services.get(service);
        let listed = entry.and_then(|s| s.versions.iter().find(|v| v.version == *version));
        let (Some(entry), Some(listed)) = (entry, listed) else {
            let was_released = !matches!(previous, Self::NoBundle | Self::Unlisted);
            return if was_released { Self::Superseded } else { Self::Unlisted };
        };
        if listed.state == VersionState::RolledBack {
            Self::RolledBack
        } else if entry.newest_sound() == Some(version) {
            Self::Current
        } else {
            Self::Superseded
        }
    }
}

/// Time that a superseded engine stays for a possible rollback: as long as the steps of the
/// service's rollout take, during which the newer version is monitored.
#[must_use]
pub fn rollout_time(bundle: Option<&Bundle>, service: &ServiceName) -> Duration {
    let entry = bundle.and_then(|b| b.services.get(service));
    entry.map_or(Duration::ZERO, |s| {
        let steps = u64::try_from(s.steps.len()).unwrap_or(u64::MAX);
        Duration::from_secs(u64::from(s.step_seconds).saturating_mul(steps))
    })
}
