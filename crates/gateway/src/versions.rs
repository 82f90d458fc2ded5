//! Which versions of a service get traffic: the bundle's steps, and versions stopped on own evidence.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hooklug_bundle::{Service, VersionState};
use hooklug_types::{ServiceName, ServiceVersion, UnixMillis};
use tokio::time::Instant;

/// Versions that this gateway sends no new traffic to, by its own evidence. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct StoppedVersions {
    stopped: Arc<Mutex<HashSet<(ServiceName, ServiceVersion)>>>,
}

impl StoppedVersions {
    /// Stops a version; returns whether it was not stopped before.
    pub fn stop(&self, service: &ServiceName, version: &ServiceVersion) -> bool {
        self.lock().insert((service.clone(), version.clone()))
    }

    /// Whether a version is stopped.
    #[must_use]
    pub fn contains(&self, service: &ServiceName, version: &ServiceVersion) -> bool {
        let stopped = self.lock();
        !stopped.is_empty() && stopped.contains(&(service.clone(), version.clone()))
    }

    /// Forgets versions that the bundle no longer lists as sound: operators may name them anew.
    pub fn retain(&self, is_sound: impl Fn(&ServiceName, &ServiceVersion) -> bool) {
        self.lock().retain(|(service, version)| is_sound(service, version));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashSet<(ServiceName, ServiceVersion)>> {
        self.stopped.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// When each service's newest sound version came; steps count from there. For the first bundle that a
/// node sees, that is taken to be the bundle's commit, so that a restarted gateway does not skip steps.
#[derive(Debug, Default)]
pub struct RolloutClock {
    since: HashMap<(ServiceName, ServiceVersion), Option<Instant>>,
}

impl RolloutClock {
    /// Notes the newest sound versions of a bundle that came into force at an instant, and how long
    /// before it was committed.
    pub fn installed<'a>(
        &mut self,
        newest: impl Iterator<Item = (&'a ServiceName, &'a ServiceVersion)>,
        committed_for: Duration,
        now: Instant,
    ) {
        let mut since = HashMap::new();
        for (service, version) in newest {
            let key = (service.clone(), version.clone());
            // Too long ago for this clock is over and done.
            let begun = match self.since.get(&key) {
                Some(begun) => *begun,
                None => now.checked_sub(committed_for),
            };
            since.insert(key, begun);
        }
        self.since = since;
    }

    /// How long a version has been rolled out; `None` when that is over and done.
    #[must_use]
    pub fn age(
        &self,
        service: &ServiceName,
        version: &ServiceVersion,
        now: Instant,
    ) -> Option<Duration> {
        let begun = self.since.get(&(service.clone(), version.clone())).copied().flatten()?;
        Some(now.saturating_duration_since(begun))
    }
}

/// How long ago a bundle was committed. The first of a cluster may have been committed before the group's
/// clock was first set: it counts from now on, so that no step of its versions is skipped.
#[must_use]
pub fn time_since(committed: UnixMillis, now: UnixMillis) -> Duration {
    if committed == UnixMillis::default() { Duration::ZERO } else { committed.until(now) }
}

/// Percentage of traffic for a version that has been rolled out for a while.
#[must_use]
pub fn step_percentage(service: &Service, age: Option<Duration>) -> u8 {
    let Some(age) = age else { return 100 };
    let step_seconds = u64::from(service.step_seconds.max(1));
    let step = usize::try_from(age.as_secs() / step_seconds).unwrap_or(usize::MAX);
    service.steps.get(step).or(service.steps.last()).copied().unwrap_or(100).min(100)
}

/// Versions in the order in which a call should try them: `draw` in 0..100 decides between the
/// newest and the one before; the others follow as fall-backs, newest first, and the newest of all last
/// where the draw is against it.
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
        // Last, not second: the one before may have no engine, and its calls then go to older ones.
        open.rotate_left(1);
    }
    open
}
