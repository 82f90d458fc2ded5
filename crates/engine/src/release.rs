//! What a bundle says of this engine's version. Pure.

use std::time::Duration;

use hooklug_bundle::{Bundle, VersionState};
use hooklug_types::{ServiceName, ServiceVersion};

/// What the bundle says of an engine's version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseState {
    /// There is no bundle yet.
    NoBundle,
    /// The bundle does not list the version, and none did before: it is not released yet.
    Unlisted,
    /// It is the newest sound version: new sessions may come.
    Current,
    /// A newer sound version is there, or the version is no longer listed: sessions stay, no new ones.
    Superseded,
    /// It was found harmful: sessions go elsewhere between turns.
    RolledBack,
}

impl ReleaseState {
    /// Whether the engine takes no new sessions and exits once it holds none.
    #[must_use]
    pub fn drains(self) -> bool {
        matches!(self, Self::Superseded | Self::RolledBack)
    }

    /// The state under a bundle, after an earlier state.
    #[must_use]
    pub fn under(
        bundle: Option<&Bundle>,
        service: &ServiceName,
        version: &ServiceVersion,
        earlier: Self,
    ) -> Self {
        let Some(bundle) = bundle else { return earlier };
        let entry = bundle.services.get(service);
        let listed = entry.and_then(|s| s.versions.iter().find(|v| v.version == *version));
        let (Some(entry), Some(listed)) = (entry, listed) else {
            let was_listed = !matches!(earlier, Self::NoBundle | Self::Unlisted);
            return if was_listed { Self::Superseded } else { Self::Unlisted };
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

/// How long a newer version is watched, in which a superseded engine stays for a roll-back (ours: the
/// time that the service's steps take).
#[must_use]
pub fn watch_time(bundle: Option<&Bundle>, service: &ServiceName) -> Duration {
    let entry = bundle.and_then(|b| b.services.get(service));
    entry.map_or(Duration::ZERO, |s| {
        let steps = u64::try_from(s.steps.len()).unwrap_or(u64::MAX);
        Duration::from_secs(u64::from(s.step_seconds).saturating_mul(steps))
    })
}
