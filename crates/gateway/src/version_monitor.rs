//! Request statistics of service versions as seen by this gateway. They are reported to the cluster
//! and judged here by the core leader's rules, so that a clearly failing version loses this
//! gateway's traffic at once.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hooklug_bundle::Bundle;
use hooklug_control::StatisticsRecorder;
use hooklug_control::judge::Judge;
use hooklug_protocol::control::ClusterView;
use hooklug_state::meta::HarmReport;
use hooklug_types::{RouteName, ServiceName, ServiceVersion};
use tokio::sync::mpsc;
use tracing::warn;

use crate::engine_losses::EngineLosses;
use crate::versions::StoppedVersions;

/// Request statistics of versions and the local judge. Cheap to clone.
#[derive(Debug, Clone)]
pub struct VersionMonitor {
    /// Statistics for the cluster; drained by heartbeats.
    cluster_statistics: StatisticsRecorder,
    /// Statistics for the local judge; drained by each judgement.
    local_statistics: StatisticsRecorder,
    judge: Arc<Mutex<JudgeState>>,
    stopped: StoppedVersions,
    harm: mpsc::Sender<HarmReport>,
}

#[derive(Debug, Default)]
struct JudgeState {
    judge: Judge,
    engine_losses: EngineLosses,
}

impl VersionMonitor {
    /// Creates a monitor that reports to a node's statistics and regression channel.
    #[must_use]
    pub fn new(
        cluster_statistics: StatisticsRecorder,
        stopped: StoppedVersions,
        harm: mpsc::Sender<HarmReport>,
    ) -> Self {
        Self {
            cluster_statistics,
            local_statistics: StatisticsRecorder::default(),
            judge: Arc::default(),
            stopped,
            harm,
        }
    }

    /// Records one request that a backend answered or failed to answer.
    pub fn record(
        &self,
        service: &ServiceName,
        version: &ServiceVersion,
        route: &RouteName,
        success: bool,
        latency: Duration,
    ) {
        self.cluster_statistics.record(service, version, route, success, latency);
        self.local_statistics.record(service, version, route, success, latency);
    }

    /// Updates the engines from a cluster view.
    pub fn apply_view(&self, view: &ClusterView) {
        self.lock().engine_losses.apply_view(view, Instant::now());
    }

    /// Judges the newest version of each service, stops a failing one locally at once and reports
    /// it to the cluster. Returns whether a version was stopped.
    pub fn judge(&self, bundle: &Bundle) -> bool {
        self.stopped.retain(|name, version| {
            bundle.services.get(name).is_some_and(|service| service.is_sound(version))
        });
        let reports = self.evaluate(bundle, Instant::now());
        let mut any = false;
        for harm in reports {
            if self.stopped.stop(&harm.service, &harm.version) {
                warn!(service = %harm.service, version = %harm.version, reason = %harm.reason, "stopped routing traffic to a failing version");
                metrics::counter!("hooklug_gateway_versions_stopped_total").increment(1);
                // The channel is full while the cluster has not accepted earlier reports. Dropping
                // this one is safe because the statistics carry the same information.
                let _ = self.harm.try_send(harm);
                any = true;
            }
        }
        any
    }

    fn evaluate(&self, bundle: &Bundle, now: Instant) -> Vec<HarmReport> {
        let statistics = self.local_statistics.take();
        let JudgeState { judge, engine_losses } = &mut *self.lock();
        judge.observe(&statistics, now);
        judge.evaluate(bundle, &engine_losses.recent(now), now)
    }

    fn lock(&self) -> MutexGuard<'_, JudgeState> {
        self.judge.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
