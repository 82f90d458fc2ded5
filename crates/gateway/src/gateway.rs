//! The gateway role: its HTTP router, and the work between requests.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use hooklug_control::NodeContext;
use tokio::time::{MissedTickBehavior, interval, timeout};
use tracing::info;

use crate::api;
use crate::shared::Shared;

/// How often versions are judged and tables swept (ours): well below the 5 s in which a bad version
/// has to lose its traffic.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Time left of the grace period when streams that still run are cut, so that callers see it.
const CUT_TIME: Duration = Duration::from_millis(500);

/// Component name in the node's readiness.
const COMPONENT: &str = "gateway";

/// A gateway of one node.
#[derive(Debug)]
pub struct Gateway {
    shared: Arc<Shared>,
}

impl Gateway {
    /// A gateway on a node's context; nothing runs before [`Gateway::run`].
    #[must_use]
    pub fn new(ctx: NodeContext) -> Self {
        ctx.node.readiness.unready(COMPONENT, "not started yet");
        Self { shared: Arc::new(Shared::new(ctx)) }
    }

    /// The callers' API (docs/API.md).
    pub fn http_router(&self) -> Router {
        api::router(&self.shared)
    }

    /// Runs until the node stops: unready at once, then what is under way gets the grace period.
    pub async fn run(self) {
        let stop = self.shared.ctx.stop.clone();
        tokio::select! {
            () = self.upkeep() => {}
            () = self.follow_history() => {}
            () = stop.cancelled() => {}
        }
        self.wind_down().await;
    }

    async fn follow_history(&self) {
        let ctx = &self.shared.ctx;
        self.shared.calls.history.follow(&*ctx.state, ctx.node.bundle.clone()).await;
    }

    async fn upkeep(&self) {
        let shared = &self.shared;
        let mut view = shared.ctx.node.view.clone();
        let mut bundle = shared.ctx.node.bundle.clone();
        let mut ticks = interval(UPKEEP_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.take_view();
        self.take_bundle();
        loop {
            tokio::select! {
                changed = view.changed() => {
                    if changed.is_err() { return; }
                    view.mark_unchanged();
                    self.take_view();
                }
                changed = bundle.changed() => {
                    if changed.is_err() { return; }
                    bundle.mark_unchanged();
                    self.take_bundle();
                }
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn take_view(&self) {
        let view = self.shared.ctx.node.view.borrow().clone();
        self.shared.backends.listed(&view);
        self.shared.evidence.take_view(&view);
    }

    fn take_bundle(&self) {
        let readiness = &self.shared.ctx.node.readiness;
        let bundle = self.shared.ctx.node.bundle.borrow().clone();
        match bundle {
            Some(bundle) => {
                self.shared.backends.installed(&bundle);
                readiness.ready(COMPONENT);
            }
            None => readiness.unready(COMPONENT, "no bundle is known yet"),
        }
    }

    fn tick(&self) {
        let shared = &self.shared;
        shared.owners.engines.forget_unlisted();
        let Some(bundle) = shared.ctx.node.bundle.borrow().clone() else { return };
        if shared.evidence.judge(&bundle.bundle) {
            shared.backends.close_circuits();
        }
        shared.tenants.sweep(|tenant| {
            bundle.bundle.tenants.get(tenant).map_or(0.0, |t| t.limits.requests_per_second)
        });
        self.take_view();
    }

    async fn wind_down(&self) {
        let shared = &self.shared;
        shared.ctx.node.readiness.unready(COMPONENT, "stopping");
        shared.running.close();
        let grace = Duration::from_millis(shared.ctx.settings.grace_ms);
        if timeout(grace.saturating_sub(CUT_TIME), shared.running.wait()).await.is_ok() {
            return;
        }
        info!(left = shared.running.len(), "cutting what still runs");
        shared.cut.cancel();
        let _ = timeout(CUT_TIME.min(grace), shared.running.wait()).await;
    }
}
