//! The engine's lease, valid for a fixed time after *sending* the last accepted renewal (design
//! document, section 3).
//!
//! The lease is stored in the shard of the engine's id. The holder measures it on its own monotonic
//! clock from before the renewal is sent; the shard's leader measures it from when it applies the
//! renewal, which is later, and adds a margin. The holder therefore always stops before the shard
//! may report the lease as expired, independent of the machines' wall clocks.

use std::sync::Arc;
use std::time::Duration;

use hooklug_state::shard::{ShardCommand, ShardRefusal, ShardReply};
use hooklug_store::StateAccess;
use hooklug_types::{EngineIncarnation, shard_of};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

/// Time that a lease is held after sending its last accepted renewal.
pub const LEASE_TIME: Duration = Duration::from_secs(3);

/// Interval between renewals: two may fail before the lease runs out.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Pause after a renewal without a reply.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Longest wait for the reply to one renewal.
const RENEW_TIMEOUT: Duration = Duration::from_millis(900);

/// Time after the end of a lease in which session loops are suspended, waiting for a late renewal,
/// before the sessions are dropped; long enough for one more renewal. An accepted renewal proves
/// that the lease had not expired, so no other engine has taken a session over.
pub const LATE_RENEWAL_TIME: Duration = Duration::from_secs(1);

/// State of a lease as its holder knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// No renewal has been accepted yet.
    Unacquired,
    /// Held until this instant of the process's monotonic clock.
    HeldUntil(Instant),
    /// The lease ran out and was not renewed within [`LATE_RENEWAL_TIME`], so all sessions were
    /// dropped. It may still be renewed.
    Lapsed,
    /// The shard expired the lease permanently: this incarnation may no longer own sessions.
    Expired,
}

impl LeaseState {
    /// Whether the lease is certainly held.
    #[must_use]
    pub fn is_held(self, now: Instant) -> bool {
        matches!(self, Self::HeldUntil(until) if now < until)
    }

    /// Until when the lease is certainly held; `fallback` when it is not held.
    #[must_use]
    pub fn held_until_or(self, fallback: Instant) -> Instant {
        match self {
            Self::HeldUntil(until) => until,
            Self::Unacquired | Self::Lapsed | Self::Expired => fallback,
        }
    }
}

/// Read access to the state of a lease. Cheap to clone.
#[derive(Debug, Clone)]
pub struct LeaseView {
    state: watch::Receiver<LeaseState>,
}

impl LeaseView {
    /// The current state of the lease.
    #[must_use]
    pub fn state(&self) -> LeaseState {
        *self.state.borrow()
    }

    /// Whether the lease is certainly held now.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.state().is_held(Instant::now())
    }

    /// Returns the current instant and until when the lease is certainly held. Waits while the lease
    /// has run out and a late renewal is still possible, so that a loop that calls this before each
    /// step neither acts without the lease nor stops too early.
    pub async fn wait_until_decided(&self) -> (Instant, Instant) {
        loop {
            let (state, now) = (self.state(), Instant::now());
            let LeaseState::HeldUntil(until) = state else {
                return (now, state.held_until_or(now));
            };
            if now < until {
                return (now, until);
            }
            let mut changes = self.watch();
            if changes.wait_for(|later| *later != state).await.is_err() {
                // The engine has stopped; there will be no further renewal.
                return (now, now);
            }
        }
    }

    /// Subscribes to changes of the state.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<LeaseState> {
        self.state.clone()
    }
}

/// Acquires the lease and renews it periodically.
#[derive(Debug)]
pub struct LeaseKeeper {
    state: Arc<dyn StateAccess>,
    holder: EngineIncarnation,
    lease: watch::Sender<LeaseState>,
}

impl LeaseKeeper {
    /// Creates a keeper of a holder's lease; nothing is renewed before [`LeaseKeeper::run`].
    #[must_use]
    pub fn new(state: Arc<dyn StateAccess>, holder: EngineIncarnation) -> Self {
        Self { state, holder, lease: watch::Sender::new(LeaseState::Unacquired) }
    }

    /// A view of the lease's state.
    #[must_use]
    pub fn view(&self) -> LeaseView {
        LeaseView { state: self.lease.subscribe() }
    }

    /// Renews until stopped or until the lease has expired permanently. Calls `on_lost` each time the
    /// lease has run out and was not renewed within [`LATE_RENEWAL_TIME`], and when it has expired.
    pub async fn run(self, stop: CancellationToken, on_lost: impl Fn()) {
        loop {
            let sent = Instant::now();
            tokio::select! {
                () = stop.cancelled() => return,
                renewed = self.renew(sent) => match renewed {
                    Some(true) => {
                        self.lease.send_replace(LeaseState::HeldUntil(sent + LEASE_TIME));
                    }
                    Some(false) => break,
                    None => {}
                },
                () = self.wait_for_lapse() => {
                    warn!(holder = %self.holder, "lease ran out without a renewal; dropping all sessions");
                    self.lease.send_replace(LeaseState::Lapsed);
                    on_lost();
                }
            }
            let renewed = *self.lease.borrow() == LeaseState::HeldUntil(sent + LEASE_TIME);
            let next = if renewed { sent + RENEW_INTERVAL } else { Instant::now() + RETRY_PAUSE };
            tokio::select! {
                () = stop.cancelled() => return,
                () = sleep_until(next) => {}
            }
        }
        info!(holder = %self.holder, "lease expired permanently");
        self.lease.send_replace(LeaseState::Expired);
        on_lost();
    }

    /// `Some(true)` if the lease was renewed, `Some(false)` if it has expired permanently, `None` if
    /// the result is unknown.
    async fn renew(&self, sent: Instant) -> Option<bool> {
        let command = ShardCommand::RenewLease { holder: self.holder.clone() };
        let group = shard_of(self.holder.engine.as_str());
        match self.state.execute_shard(group, &command, sent + RENEW_TIMEOUT).await {
            Ok(ShardReply::Lease(record)) => Some(!record.expired),
            Ok(ShardReply::Refused(ShardRefusal::LeaseExpired)) => Some(false),
            Ok(reply) => {
                warn!(?reply, "unexpected reply to a lease renewal");
                None
            }
            Err(_) => None,
        }
    }

    /// Waits until the lease has run out and the time for a late renewal has passed.
    async fn wait_for_lapse(&self) {
        let state = *self.lease.borrow();
        match state {
            LeaseState::HeldUntil(until) => sleep_until(until + LATE_RENEWAL_TIME).await,
            LeaseState::Unacquired | LeaseState::Lapsed | LeaseState::Expired => {
                std::future::pending::<()>().await;
            }
        }
    }
}
