//! Selects the versions of a service that get traffic, from the bundle's rollout steps and the
//! versions stopped locally.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hooklug_bundle::{Service, VersionState};
use hooklug_types::{ServiceName, ServiceVersion, UnixMillis};
use tokio::time::Instant;

/// Versions that this gateway stopped sending new traffic to, based on its own statistics. Cheap to
/// clone.
#[derive(Debug, Clone, Default)]
pub struct StoppedVersions {
    stopped: Arc<Mutex<HashSet<(ServiceName, ServiceVersion)>>>,
}

impl StoppedVersions {
    /// Stops a version. Returns whether it was not stopped before.
    pub fn stop(&self, service: &ServiceName, version: &ServiceVersion) -> bool {
        self.lock().insert((service.clone(), version.clone()))
    }

    /// Returns whether a version is stopped.
    #[must_use]
    pub fn contains(&self, service: &ServiceName, version: &ServiceVersion) -> bool {
        let stopped = self.lock();
        !stopped.is_empty() && stopped.contains(&(service.clone(), version.clone()))
    }

    /// Removes versions that the bundle no longer lists as sound, since operators may reuse their
    /// names.
    pub fn retain(&self, is_sound: impl Fn(&ServiceName, &ServiceVersion) -> bool) {
        self.lock().retain(|(service, version)| is_sound(service, version));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashSet<(ServiceName, ServiceVersion)>> {
        self.stopped.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Rollout start of each service's newest sound version; steps count from there. For the first
/// bundle that a node sees, the start is the bundle's commit time, so that a restarted gateway
/// continues the rollout instead of skipping its steps.
#[derive(Debug, Default)]
pub struct RolloutClock {
    since: HashMap<(ServiceName, ServiceVersion), Option<Instant>>,
}

impl RolloutClock {
    /// Records the newest sound versions of a bundle installed at `now` and committed
    /// `committed_for` earlier.
    pub fn record_versions<'a>(
        &mut self,
        newest: impl Iterator<Item = (&'a ServiceName, &'a ServiceVersion)>,
        committed_for: Duration,
        now: Instant,
    ) {
        let mut since = HashMap::new();
        for (service, version) in newest {
            let key = (service.clone(), version.clone());
            // `None` if the start lies before this clock's range: the rollout is complete.
            let started = match self.since.get(&key) {
                Some(started) => *started,
                None => now.checked_sub(committed_for),
            };
            since.insert(key, started);
        }
        self.since = since;
    }

    /// Returns how long a version has been rolled out; `None` when its rollout is complete.
    #[must_use]
    pub fn age(
        &self,
        service: &ServiceName,
        version: &ServiceVersion,
        now: Instant,
    ) -> Option<Duration> {
        let started = self.since.get(&(service.clone(), version.clone())).copied().flatten()?;
        Some(now.saturating_duration_since(started))
    }
}

/// Returns how long ago a bundle was committed. A cluster's first bundle may have been committed
/// before the group's clock was first set; it counts from now on, so that no step of its versions
/// is skipped.
#[must_use]
pub fn time_since_commit(committed: UnixMillis, now: UnixMillis) -> Duration {
    if committed == UnixMillis::default() { Duration::ZERO } else { committed.until(now) }
}

/// Returns the percentage of traffic for a version that has been rolled out for `age`.
#[must_use]
pub fn step_percentage(service: &Service, age: Option<Duration>) -> u8 {
    let Some(age) = age else { return 100 };
    let step_seconds = u64::from(service.step_seconds.max(1));
    let step = usize::try_from(age.as_secs() / step_seconds).unwrap_or(usize::MAX);
    service.steps.get(step).or(service.steps.last()).copied().unwrap_or(100).min(100)
}

/// Returns versions in the order in which a call should try them. `draw` in 0..100 decides whether
/// the newest one comes first. The others follow as fallbacks, newest first; the newest goes last
/// when the draw excludes it.
#[must_use]
pub fn preferred_versions(
    service: &Service,
    age_of_newest: Option<Duration>,
    draw: u8,
    is_stopped: impl Fn(&ServiceVersion) -> bool,
) -> Vec<ServiceVersion> {
    let sound = service.versions.iter().rev().filter(|v| v.state == VersionState::Sound);
    let all: Vec<&ServiceVersion> = sound.map(|v| &v.version).collect();
    let newest = all.first().copied();
    let mut open: Vec<ServiceVersion> =
        all.iter().filter(|v| !is_stopped(v)).map(|v| (*v).clone()).collect();
    let newest_is_open = open.first() == newest;
    if newest_is_open && open.len() > 1 && draw >= step_percentage(service, age_of_newest) {
        // Last, not second: the previous version may have no engine, and its calls must then go to
        // older ones.
        open.rotate_left(1);
    }
    open
}
