//! Releases a harmful version: an engine of a new version that loses most of its responses.

use hooklug_bundle::{VersionEntry, VersionState};
use hooklug_emulator::{FaultKind, FaultRule, Faults};
use hooklug_fleet::http::HttpClient;
use hooklug_fleet::{Fleet, FleetError, ProcessName};
use hooklug_types::{BundleVersion, ServiceVersion};

use crate::oracle::evidence::HarmfulRelease;
use crate::workload::{Recorder, read_newest_bundle, submit};

/// Share of responses that the new version loses, far above the default failure threshold of 0.1.
const LOST_RESPONSE_SHARE: f64 = 0.6;
/// Attempts to submit the bundle; other operators submit theirs concurrently.
const ATTEMPTS: usize = 8;

/// Releases a harmful version of the first application service and returns its engine.
///
/// # Errors
/// If the engine cannot be added or no node accepts the bundle.
pub(super) async fn start(fleet: &Fleet, recorder: &Recorder) -> Result<ProcessName, FleetError> {
    let no_service =
        || FleetError::Unexpected("the topology has no application services".to_owned());
    let mut group = fleet.topology().applications.first().cloned().ok_or_else(no_service)?;
    let version = ServiceVersion::new(format!("bad-{:08x}", rand::random::<u32>()))
        .map_err(|e| FleetError::Unexpected(e.to_string()))?;
    group.version = version.clone();
    let engine = fleet.add_application(&group).await?;
    let rule = FaultRule { share: LOST_RESPONSE_SHARE, ..FaultRule::always(FaultKind::LoseAnswer) };
    fleet.set_faults(engine, &Faults { rules: vec![rule], ..Faults::default() }).await?;
    let http = HttpClient::default();
    let nodes: Vec<ProcessName> =
        fleet.all_names().into_iter().filter(|name| name.kind.is_node()).collect();
    for node in nodes.iter().cycle().take(ATTEMPTS) {
        let Some(mut bundle) = read_newest_bundle(fleet, &http, recorder, *node).await else {
            continue;
        };
        bundle.base = bundle.version;
        bundle.version = BundleVersion(bundle.version.0 + 1);
        let Some(service) = bundle.services.get_mut(&group.service) else {
            return Err(no_service());
        };
        let least_samples = service.harm.least_samples as usize;
        service.versions.retain(|entry| entry.state == VersionState::Sound);
        service
            .versions
            .push(VersionEntry { version: version.clone(), state: VersionState::Sound });
        if submit(fleet, recorder, *node, &bundle).await {
            // The rollout judges samples by route.
            let samples = least_samples * group.tools.len().max(1);
            let release = HarmfulRelease { version: version.to_string(), samples };
            recorder.lock().harmful_releases.push(release);
            return Ok(engine);
        }
    }
    Err(FleetError::Unexpected("no node accepted the bundle of the harmful version".to_owned()))
}

/// Removes the engine of the harmful version.
///
/// # Errors
/// If the platform's list cannot be updated.
pub(super) async fn end(fleet: &Fleet, engine: ProcessName) -> Result<(), FleetError> {
    fleet.kill(engine)?;
    fleet.list_applications().await
}
