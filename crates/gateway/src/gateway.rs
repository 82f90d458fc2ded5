//! The gateway role: its HTTP router and its background maintenance.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use hooklug_control::NodeContext;
use tokio::time::{MissedTickBehavior, interval, timeout};
use tracing::info;

use crate::api;
use crate::shared::Shared;

/// Interval at which versions are judged and tables are swept. Must be well below the 5 s within
/// which a bad version has to lose its traffic.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Part of the grace period reserved for aborting the remaining streams, so that callers see the
/// connection close.
const ABORT_TIME: Duration = Duration::from_millis(500);

/// Component name in the node's readiness report.
const COMPONENT: &str = "gateway";

/// The gateway of one node.
#[derive(Debug)]
pub struct Gateway {
    shared: Arc<Shared>,
}

impl Gateway {
    /// Creates a gateway for a node; no task starts before [`Gateway::run`].
    #[must_use]
    pub fn new(ctx: NodeContext) -> Self {
        ctx.node.readiness.set_not_ready(COMPONENT, "not started yet");
        Self { shared: Arc::new(Shared::new(ctx)) }
    }

    /// Router of the callers' API (docs/API.md).
    pub fn http_router(&self) -> Router {
        api::router(&self.shared)
    }

    /// Runs until the node stops. The gateway then reports unready at once and gives running
    /// requests the grace period.
    pub async fn run(self) {
        let stop = self.shared.ctx.stop.clone();
        tokio::select! {
            () = self.run_maintenance() => {}
            () = self.follow_history() => {}
            () = stop.cancelled() => {}
        }
        self.shut_down().await;
    }

    async fn follow_history(&self) {
        let ctx = &self.shared.ctx;
        self.shared.calls.history.follow(&*ctx.state, ctx.node.bundle.clone()).await;
    }

    async fn run_maintenance(&self) {
        let shared = &self.shared;
        let mut view = shared.ctx.node.view.clone();
        let mut bundle = shared.ctx.node.bundle.clone();
        let mut ticks = interval(MAINTENANCE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.apply_view();
        self.apply_bundle();
        loop {
            tokio::select! {
                changed = view.changed() => {
                    if changed.is_err() { return; }
                    view.mark_unchanged();
                    self.apply_view();
                }
                changed = bundle.changed() => {
                    if changed.is_err() { return; }
                    bundle.mark_unchanged();
                    self.apply_bundle();
                }
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn apply_view(&self) {
        let view = self.shared.ctx.node.view.borrow().clone();
        self.shared.backends.apply_view(&view);
        self.shared.version_monitor.apply_view(&view);
    }

    fn apply_bundle(&self) {
        let readiness = &self.shared.ctx.node.readiness;
        let bundle = self.shared.ctx.node.bundle.borrow().clone();
        match bundle {
            Some(bundle) => {
                self.shared.backends.apply_bundle(&bundle);
                readiness.set_ready(COMPONENT);
            }
            None => readiness.set_not_ready(COMPONENT, "no bundle is installed yet"),
        }
    }

    fn tick(&self) {
        let shared = &self.shared;
        shared.owners.engines.forget_unlisted();
        let Some(bundle) = shared.ctx.node.bundle.borrow().clone() else { return };
        if shared.version_monitor.judge(&bundle.bundle) {
            shared.backends.close_circuits();
        }
        shared.tenants.sweep(|tenant| {
            bundle.bundle.tenants.get(tenant).map_or(0.0, |t| t.limits.requests_per_second)
        });
        self.apply_view();
    }

    async fn shut_down(&self) {
        let shared = &self.shared;
        shared.ctx.node.readiness.set_not_ready(COMPONENT, "stopping");
        shared.running.close();
        let grace = Duration::from_millis(shared.ctx.settings.grace_ms);
        if timeout(grace.saturating_sub(ABORT_TIME), shared.running.wait()).await.is_ok() {
            return;
        }
        info!(
            left = shared.running.len(),
            "grace period is almost over; aborting the remaining streams"
        );
        shared.abort_streams.cancel();
        let _ = timeout(ABORT_TIME.min(grace), shared.running.wait()).await;
    }
}
