//! What this gateway sees of versions: told to the cluster, and judged here by the same rules as the
//! core leader's, so that a version that does clear harm loses this gateway's traffic at once.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hooklug_bundle::Bundle;
use hooklug_control::Statistics;
use hooklug_control::judge::Judge;
use hooklug_protocol::control::ClusterView;
use hooklug_state::meta::HarmReport;
use hooklug_types::{RouteName, ServiceName, ServiceVersion};
use tokio::sync::mpsc;
use tracing::warn;

use crate::engine_losses::Losses;
use crate::versions::StoppedVersions;

/// Evidence about versions. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Evidence {
    /// For the cluster; emptied by heartbeats.
    told: Statistics,
    /// For the judge here; emptied by each judgement.
    own: Statistics,
    judge: Arc<Mutex<Judgement>>,
    stopped: StoppedVersions,
    harm: mpsc::Sender<HarmReport>,
}

#[derive(Debug, Default)]
struct Judgement {
    judge: Judge,
    losses: Losses,
}

impl Evidence {
    /// Evidence that goes to a node's statistics and harm channel.
    #[must_use]
    pub fn new(told: Statistics, stopped: StoppedVersions, harm: mpsc::Sender<HarmReport>) -> Self {
        Self { told, own: Statistics::default(), judge: Arc::default(), stopped, harm }
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
        self.told.record(service, version, route, success, latency);
        self.own.record(service, version, route, success, latency);
    }

    /// Notes the engines of a view.
    pub fn take_view(&self, view: &ClusterView) {
        self.lock().losses.take_view(view, Instant::now());
    }

    /// Judges the newest version of each service; stops a harmful one here at once and tells the
    /// cluster. Returns whether one was stopped.
    pub fn judge(&self, bundle: &Bundle) -> bool {
        self.stopped.retain(|name, version| {
            bundle.services.get(name).is_some_and(|service| service.is_sound(version))
        });
        let found = self.find(bundle, Instant::now());
        let mut any = false;
        for harm in found {
            if self.stopped.stop(&harm.service, &harm.version) {
                warn!(service = %harm.service, version = %harm.version, reason = %harm.reason, "version stopped");
                metrics::counter!("hooklug_gateway_versions_stopped_total").increment(1);
                // A full channel means that the cluster has not taken earlier reports; the statistics tell it too.
                let _ = self.harm.try_send(harm);
                any = true;
            }
        }
        any
    }

    fn find(&self, bundle: &Bundle, now: Instant) -> Vec<HarmReport> {
        let statistics = self.own.take();
        let Judgement { judge, losses } = &mut *self.lock();
        judge.observe(&statistics, now);
        judge.evaluate(bundle, &losses.lately(now), now)
    }

    fn lock(&self) -> MutexGuard<'_, Judgement> {
        self.judge.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
