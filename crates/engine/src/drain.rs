//! Draining: the engine accepts no new sessions, runs those it has and exits once the last one has
//! ended (write-up, "zero-downtime deployments"). The cases in which sessions are handed over instead
//! are those of the design document, section 6.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hooklug_session::Message;
use tokio::time::{Instant, sleep, timeout_at};
use tokio_util::sync::CancellationToken;
use tracing::info;

use crate::release::{ReleaseState, rollout_time};
use crate::shared::Shared;

/// Interval at which the drain conditions are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time that the model server may be unready before idle sessions are handed over.
const MODEL_UNREADY_LIMIT: Duration = Duration::from_secs(3);

/// Divisor of the grace period that gives the time reserved for ending turns and handing sessions
/// over.
const GRACE_RESERVE_DIVISOR: u32 = 4;

/// Upper bound of the time reserved at the end of the grace period.
const MAX_GRACE_RESERVE: Duration = Duration::from_secs(2);

/// Watches the bundle and the model server until the engine has drained.
#[derive(Debug)]
pub struct Drain {
    shared: Arc<Shared>,
    draining_since: Option<Instant>,
    model_unready_since: Option<Instant>,
}

impl Drain {
    /// Creates the drain of an engine.
    #[must_use]
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared, draining_since: None, model_unready_since: None }
    }

    /// Runs until the engine may exit: either its version has been replaced and its last session has
    /// ended, or the platform stopped it and its sessions are handed over. After a stop it returns at
    /// the end of the grace period at the latest.
    pub async fn run(mut self, stop: CancellationToken, grace: Duration) {
        let mut bundle = self.shared.node.bundle.clone();
        let mut sessions = self.shared.table.watch_len();
        loop {
            self.apply_bundle();
            self.hand_over_sessions();
            if self.is_drained() {
                info!("engine drained: no sessions left");
                return;
            }
            tokio::select! {
                () = stop.cancelled() => break,
                // A closed channel would always be ready; the pattern disables it, and the timer keeps
                // the loop running.
                Ok(()) = bundle.changed() => {}
                Ok(()) = sessions.changed() => {}
                () = sleep(CHECK_INTERVAL) => {}
            }
        }
        self.stop(Instant::now() + grace, grace).await;
    }

    fn apply_bundle(&mut self) {
        let shared = &self.shared;
        let installed = shared.bundle();
        let bundle = installed.as_deref().map(|i| &i.bundle);
        let previous = *shared.release.borrow();
        let settings = &shared.settings;
        let state =
            ReleaseState::for_bundle(bundle, &settings.service, &settings.version, previous);
        if state != previous {
            info!(?state, "release state of this engine's version changed");
            shared.release.send_replace(state);
        }
        let since = self.draining_since.unwrap_or_else(Instant::now);
        self.draining_since = state.drains().then_some(since);
        shared.slots.resize(shared.admission_limits());
    }

    /// Hands sessions over between turns when the version is rolled back, the drain bound is reached
    /// or the model server is unready for too long.
    fn hand_over_sessions(&mut self) {
        let shared = &self.shared;
        let bound = Duration::from_millis(shared.settings.drain_bound_ms);
        let bound_reached = self.draining_since.is_some_and(|since| since.elapsed() >= bound);
        let rolled_back = *shared.release.borrow() == ReleaseState::RolledBack;
        let model_ready = shared.model_health.borrow().is_ready();
        let since = self.model_unready_since.unwrap_or_else(Instant::now);
        self.model_unready_since = (!model_ready).then_some(since);
        let model_unready =
            self.model_unready_since.is_some_and(|since| since.elapsed() >= MODEL_UNREADY_LIMIT);
        let hand_over = rolled_back || bound_reached || model_unready;
        shared.handing_over.store(hand_over, Ordering::Release);
        if hand_over {
            shared.table.broadcast(&Message::HandOver);
        }
    }

    fn is_drained(&self) -> bool {
        let shared = &self.shared;
        let installed = shared.bundle();
        let rollout =
            rollout_time(installed.as_deref().map(|i| &i.bundle), &shared.settings.service);
        shared.table.is_empty()
            && self.draining_since.is_some_and(|since| since.elapsed() >= rollout)
    }

    /// Stops on the platform's request: idle sessions are handed over at once, running turns may
    /// continue until the reserved end of the grace period.
    async fn stop(self, grace_end: Instant, grace: Duration) {
        let shared = &self.shared;
        shared.stopping.store(true, Ordering::Release);
        shared.handing_over.store(true, Ordering::Release);
        shared.node.readiness.set_not_ready("engine", "stopping");
        info!(sessions = shared.table.len(), "stopping; handing sessions over");
        shared.table.broadcast(&Message::HandOver);
        let reserve = (grace / GRACE_RESERVE_DIVISOR).min(MAX_GRACE_RESERVE);
        if self.wait_until_empty(grace_end - reserve).await {
            return;
        }
        info!(sessions = shared.table.len(), "grace period ends; interrupting running turns");
        shared.table.broadcast(&Message::HandOver);
        shared.table.broadcast(&Message::Interrupt);
        self.wait_until_empty(grace_end).await;
    }

    /// Waits until no session is held; `false` if that has not happened by the deadline.
    async fn wait_until_empty(&self, deadline: Instant) -> bool {
        let mut sessions = self.shared.table.watch_len();
        // `self` keeps the sending half of the channel alive, so only the condition ends the wait.
        let emptied = async { sessions.wait_for(|count| *count == 0).await.is_ok() };
        timeout_at(deadline, emptied).await.unwrap_or(false)
    }
}
