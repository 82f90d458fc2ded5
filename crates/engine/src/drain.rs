//! Draining: no new sessions, sessions kept, exit once the last one is gone (write-up, "zero-downtime
//! deployments"); and the bounded exceptions of design section 6.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hooklug_session::Message;
use tokio::time::{Instant, sleep, timeout_at};
use tokio_util::sync::CancellationToken;
use tracing::info;

use crate::release::{ReleaseState, watch_time};
use crate::shared::Shared;

/// Time between looks at what is due (ours).
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// Time that the model server may be unready before idle sessions go elsewhere (ours).
const MODEL_GONE: Duration = Duration::from_secs(3);

/// Part of the grace period kept for ending turns and handing sessions over, as a divisor (ours).
const GRACE_KEPT: u32 = 4;

/// Longest time kept of the grace period (ours).
const LONGEST_KEPT: Duration = Duration::from_secs(2);

/// Follows the bundle and the model server until the engine has drained.
#[derive(Debug)]
pub struct Drain {
    shared: Arc<Shared>,
    draining_since: Option<Instant>,
    model_gone_since: Option<Instant>,
}

impl Drain {
    /// The drain of an engine.
    #[must_use]
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared, draining_since: None, model_gone_since: None }
    }

    /// Runs until the engine has nothing left to do: its version is over and its last session gone, or
    /// the platform stopped it and its sessions are handed over, at the latest at the end of the grace period.
    pub async fn run(mut self, stop: CancellationToken, grace: Duration) {
        let mut bundle = self.shared.node.bundle.clone();
        let mut sessions = self.shared.table.watch_len();
        loop {
            self.follow_bundle();
            self.give_up_sessions();
            if self.is_over() {
                info!("drained");
                return;
            }
            tokio::select! {
                () = stop.cancelled() => break,
                // A closed channel would be ready for ever; the timer keeps the loop going then.
                Ok(()) = bundle.changed() => {}
                Ok(()) = sessions.changed() => {}
                () = sleep(LOOK_EVERY) => {}
            }
        }
        self.stop(Instant::now() + grace, grace).await;
    }

    fn follow_bundle(&mut self) {
        let shared = &self.shared;
        let installed = shared.bundle();
        let bundle = installed.as_deref().map(|i| &i.bundle);
        let earlier = *shared.release.borrow();
        let settings = &shared.settings;
        let now = ReleaseState::under(bundle, &settings.service, &settings.version, earlier);
        if now != earlier {
            info!(?now, "release state");
            shared.release.send_replace(now);
        }
        let since = self.draining_since.unwrap_or_else(Instant::now);
        self.draining_since = now.drains().then_some(since);
        shared.slots.resize(shared.admission_limits());
    }

    /// Sessions go elsewhere between turns after harm, at the drain bound, or without a model server.
    fn give_up_sessions(&mut self) {
        let shared = &self.shared;
        let bound = Duration::from_millis(shared.settings.drain_bound_ms);
        let bound_reached = self.draining_since.is_some_and(|since| since.elapsed() >= bound);
        let harmful = *shared.release.borrow() == ReleaseState::RolledBack;
        let model_ready = shared.model_health.borrow().is_ready();
        let since = self.model_gone_since.unwrap_or_else(Instant::now);
        self.model_gone_since = (!model_ready).then_some(since);
        let model_gone = self.model_gone_since.is_some_and(|since| since.elapsed() >= MODEL_GONE);
        let give_up = harmful || bound_reached || model_gone;
        shared.handing_over.store(give_up, Ordering::Release);
        if give_up {
            shared.table.tell_all(&Message::HandOver);
        }
    }

    fn is_over(&self) -> bool {
        let shared = &self.shared;
        let installed = shared.bundle();
        let watch = watch_time(installed.as_deref().map(|i| &i.bundle), &shared.settings.service);
        shared.table.is_empty() && self.draining_since.is_some_and(|since| since.elapsed() >= watch)
    }

    /// The platform's stop: sessions move between turns, running turns get what is left of the grace period.
    async fn stop(self, grace_end: Instant, grace: Duration) {
        let shared = &self.shared;
        shared.stopping.store(true, Ordering::Release);
        shared.handing_over.store(true, Ordering::Release);
        shared.node.readiness.unready("engine", "stopping");
        info!(sessions = shared.table.len(), "stopping");
        shared.table.tell_all(&Message::HandOver);
        let kept = (grace / GRACE_KEPT).min(LONGEST_KEPT);
        if self.emptied_by(grace_end - kept).await {
            return;
        }
        info!(sessions = shared.table.len(), "ending turns");
        shared.table.tell_all(&Message::HandOver);
        shared.table.tell_all(&Message::Interrupt);
        self.emptied_by(grace_end).await;
    }

    /// Whether the last session has gone by an instant.
    async fn emptied_by(&self, deadline: Instant) -> bool {
        let mut sessions = self.shared.table.watch_len();
        // The table, which sends the counts, lives as long as `self`: only the condition ends the wait.
        let emptied = async { sessions.wait_for(|count| *count == 0).await.is_ok() };
        timeout_at(deadline, emptied).await.unwrap_or(false)
    }
}
