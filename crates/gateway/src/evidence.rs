//! What this gateway sees of versions: told to the cluster, and judged here for clear harm.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hooklug_bundle::Bundle;
use hooklug_control::Statistics;
use hooklug_state::meta::HarmReport;
use hooklug_types::{RouteName, ServiceName, ServiceVersion};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tracing::warn;

use crate::judge::{Judge, Observation};
use crate::versions::StoppedVersions;

/// Evidence about versions. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Evidence {
    statistics: Statistics,
    judge: Arc<Mutex<Judge>>,
    stopped: StoppedVersions,
    harm: mpsc::Sender<HarmReport>,
}

impl Evidence {
    /// Evidence that goes to a node's statistics and harm channel.
    #[must_use]
    pub fn new(
        statistics: Statistics,
        stopped: StoppedVersions,
        harm: mpsc::Sender<HarmReport>,
    ) -> Self {
        Self { statistics, judge: Arc::default(), stopped, harm }
    }

    /// Counts one request that a back end answered, or failed to.
    pub fn record(
        &self,
        service: &ServiceName,
        version: &ServiceVersion,
        route: &RouteName,
        success: bool,
        latency: Duration,
    ) {
        self.statistics.record(service, version, route, success, latency);
        let seen = Observation { service, version, route, success, latency };
        self.lock().observe(&seen, Instant::now());
    }

    /// Judges the newest version of each service; stops a harmful one here at once and tells the cluster.
    pub fn judge(&self, bundle: &Bundle) {
        self.stopped.retain(|name, version| {
            bundle.services.get(name).is_some_and(|service| service.is_sound(version))
        });
        let now = Instant::now();
        let found: Vec<HarmReport> = {
            let mut judge = self.lock();
            judge.forget_old(now);
            let services = bundle.services.iter();
            services.filter_map(|(name, service)| judge.harm(name, service, now)).collect()
        };
        for harm in found {
            if self.stopped.stop(&harm.service, &harm.version) {
                warn!(service = %harm.service, version = %harm.version, reason = %harm.reason, "version stopped");
                metrics::counter!("hooklug_gateway_versions_stopped_total").increment(1);
                // A full channel means that the cluster has not taken earlier reports; the statistics tell it too.
                let _ = self.harm.try_send(harm);
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Judge> {
        self.judge.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
