//! The engine's lease: kept by renewals, valid for a fixed time from *sending* the last accepted one
//! (design section 3).
//!
//! The lease lives in the shard of the engine's id. The holder counts on its own monotonic clock from
//! before the renewal left; the shard's leader counts from its apply, later, and with a margin. So the
//! holder always stops before anyone may be told that the lease has expired, whatever the clocks of
//! the machines say.

use std::sync::Arc;
use std::time::Duration;

use hooklug_state::shard::{ShardCommand, ShardRefusal, ShardReply};
use hooklug_store::StateAccess;
use hooklug_types::{EngineIncarnation, shard_of};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

/// Time that a lease is held from sending its last accepted renewal (ours).
pub const LEASE_TIME: Duration = Duration::from_secs(3);

/// Time between renewals (ours): two may fail before the lease runs out.
pub const RENEW_EVERY: Duration = Duration::from_secs(1);

/// Pause after a renewal that was not answered (ours).
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Longest wait for one renewal's answer (ours).
const RENEW_TIME: Duration = Duration::from_millis(900);

/// How long after the end of a lease its loops stand still, for a late renewal, before they are given up (ours:
/// one renewal more). An accepted renewal shows that the lease had not expired, so nobody took a session.
pub const LAPSE_TIME: Duration = Duration::from_secs(1);

/// How a lease stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// Never renewed so far.
    Unborn,
    /// Held until then, by this process's monotonic clock.
    Until(Instant),
    /// It ran out, and no renewal came within [`LAPSE_TIME`]: all sessions are given up. It may be renewed yet.
    Lapsed,
    /// Expired by the shard, for ever: this incarnation may own nothing any more.
    Expired,
}

impl LeaseState {
    /// Whether the lease is certainly held.
    #[must_use]
    pub fn is_held(self, now: Instant) -> bool {
        matches!(self, Self::Until(until) if now < until)
    }

    /// Until when it is certainly held; `fallback` when it is not at all.
    #[must_use]
    pub fn until_or(self, fallback: Instant) -> Instant {
        match self {
            Self::Until(until) => until,
            Self::Unborn | Self::Lapsed | Self::Expired => fallback,
        }
    }
}

/// Follows the lease. Cheap to clone.
#[derive(Debug, Clone)]
pub struct LeaseView {
    state: watch::Receiver<LeaseState>,
}

impl LeaseView {
    /// How the lease stands.
    #[must_use]
    pub fn state(&self) -> LeaseState {
        *self.state.borrow()
    }

    /// Whether it is held now.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.state().is_held(Instant::now())
    }

    /// The present instant and until when the lease is certainly held, as seen from it. Waits while the lease has
    /// run out and may be renewed yet, so that a loop that acts only on this neither acts without the lease nor
    /// ends before its time.
    pub async fn decided(&self) -> (Instant, Instant) {
        loop {
            let (state, now) = (self.state(), Instant::now());
            let LeaseState::Until(until) = state else { return (now, state.until_or(now)) };
            if now < until {
                return (now, until);
            }
            let mut changes = self.watch();
            if changes.wait_for(|later| *later != state).await.is_err() {
                // The engine has stopped: there will be no renewal.
                return (now, now);
            }
        }
    }

    /// Follows changes.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<LeaseState> {
        self.state.clone()
    }
}

/// Renews the lease.
#[derive(Debug)]
pub struct LeaseKeeper {
    state: Arc<dyn StateAccess>,
    holder: EngineIncarnation,
    lease: watch::Sender<LeaseState>,
}

impl LeaseKeeper {
    /// A keeper of a holder's lease; nothing is renewed before [`LeaseKeeper::run`].
    #[must_use]
    pub fn new(state: Arc<dyn StateAccess>, holder: EngineIncarnation) -> Self {
        Self { state, holder, lease: watch::Sender::new(LeaseState::Unborn) }
    }

    /// Follows the lease.
    #[must_use]
    pub fn view(&self) -> LeaseView {
        LeaseView { state: self.lease.subscribe() }
    }

    /// Renews until stopped, or until the lease has expired for ever. `lost` is called each time that the lease has
    /// run out and was not renewed within [`LAPSE_TIME`].
    pub async fn run(self, stop: CancellationToken, lost: impl Fn()) {
        loop {
            let sent = Instant::now();
            tokio::select! {
                () = stop.cancelled() => return,
                renewed = self.renew(sent) => match renewed {
                    Some(true) => { self.lease.send_replace(LeaseState::Until(sent + LEASE_TIME)); }
                    Some(false) => break,
                    None => {}
                },
                () = self.lapse() => {
                    warn!(holder = %self.holder, "lease has run out");
                    self.lease.send_replace(LeaseState::Lapsed);
                    lost();
                }
            }
            let renewed = *self.lease.borrow() == LeaseState::Until(sent + LEASE_TIME);
            let next = if renewed { sent + RENEW_EVERY } else { Instant::now() + RETRY_PAUSE };
            tokio::select! {
                () = stop.cancelled() => return,
                () = sleep_until(next) => {}
            }
        }
        info!(holder = %self.holder, "lease has expired for ever");
        self.lease.send_replace(LeaseState::Expired);
        lost();
    }

    /// `Some(true)` when renewed, `Some(false)` when expired for ever, `None` when not known.
    async fn renew(&self, sent: Instant) -> Option<bool> {
        let command = ShardCommand::RenewLease { holder: self.holder.clone() };
        let group = shard_of(self.holder.engine.as_str());
        match self.state.execute_shard(group, &command, sent + RENEW_TIME).await {
            Ok(ShardReply::Lease(record)) => Some(!record.expired),
            Ok(ShardReply::Refused(ShardRefusal::LeaseExpired)) => Some(false),
            Ok(other) => {
                warn!(?other, "unexpected answer to a renewal");
                None
            }
            Err(_) => None,
        }
    }

    /// Waits until the lease has run out and the time for a late renewal is over.
    async fn lapse(&self) {
        let state = *self.lease.borrow();
        match state {
            LeaseState::Until(until) => sleep_until(until + LAPSE_TIME).await,
            LeaseState::Unborn | LeaseState::Lapsed | LeaseState::Expired => {
                std::future::pending::<()>().await;
            }
        }
    }
}
