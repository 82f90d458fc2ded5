//! The core leader's lease: renewed every half second, and given up by the leader's own clock
//! before any other core can acquire it.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hooklug_protocol::store::{LeaseStatus, LeaseSubject};
use hooklug_state::meta::{CoreLeader, MetaAnswer, MetaCommand, MetaQuery, MetaRefusal, MetaReply};
use hooklug_types::{FencingEpoch, META_GROUP};
use tokio::sync::watch;
use tokio::time::Instant;
use tracing::{info, warn};

use crate::{NodeContext, metrics};

/// Duration of the core leader's lease, measured on its own clock from the time at which the last
/// accepted renewal was sent (design document, section 3: 3 s). Stores wait longer before they let
/// another core acquire it.
pub const LEASE_TIME: Duration = Duration::from_secs(3);

/// Time between renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time between checks by a core that follows whether the lease has expired.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a request to the stores.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Leadership state of this core, valid until the lease expires by its own clock.
#[derive(Debug)]
pub struct Leadership {
    epoch: watch::Sender<Option<FencingEpoch>>,
    /// The leader as last read from the stores.
    known_leader: watch::Sender<Option<CoreLeader>>,
    accepted_at: Mutex<Option<Instant>>,
}

impl Default for Leadership {
    fn default() -> Self {
        Self {
            epoch: watch::Sender::new(None),
            known_leader: watch::Sender::new(None),
            accepted_at: Mutex::new(None),
        }
    }
}

impl Leadership {
    /// Returns the epoch under which this core leads, if its lease has not expired by its own clock.
    #[must_use]
    pub fn epoch(&self) -> Option<FencingEpoch> {
        let accepted = *self.accepted_at.lock().unwrap_or_else(PoisonError::into_inner);
        let unexpired = accepted.is_some_and(|at| at.elapsed() < LEASE_TIME);
        self.epoch.borrow().filter(|_| unexpired)
    }

    /// Returns a receiver of this core's epoch.
    #[must_use]
    pub fn watch_epoch(&self) -> watch::Receiver<Option<FencingEpoch>> {
        self.epoch.subscribe()
    }

    /// Returns a receiver of the leader as last read from the stores, whether this core or another.
    #[must_use]
    pub fn watch_leader(&self) -> watch::Receiver<Option<CoreLeader>> {
        self.known_leader.subscribe()
    }

    fn set_lease(&self, leader: CoreLeader, sent: Instant) {
        metrics::set_core_leads(true);
        *self.accepted_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(sent);
        let epoch = leader.epoch;
        self.known_leader.send_replace(Some(leader));
        self.epoch.send_if_modified(|held| {
            let changed = *held != Some(epoch);
            *held = Some(epoch);
            changed
        });
    }

    fn step_down(&self) {
        metrics::set_core_leads(false);
        *self.accepted_at.lock().unwrap_or_else(PoisonError::into_inner) = None;
        self.epoch.send_if_modified(|held| held.take().is_some());
    }

    /// Acquires, renews and gives up the leadership; never returns.
    pub async fn run(&self, ctx: &NodeContext) {
        loop {
            let pause = match self.held_epoch() {
                Some(epoch) => self.renew(ctx, epoch).await,
                None => self.try_acquire(ctx).await,
            };
            tokio::time::sleep(pause).await;
        }
    }

    fn held_epoch(&self) -> Option<FencingEpoch> {
        *self.epoch.borrow()
    }

    async fn renew(&self, ctx: &NodeContext, epoch: FencingEpoch) -> Duration {
        let sent = Instant::now();
        let command = MetaCommand::RenewLeadership { epoch };
        match ctx.state.execute_meta(&command, sent + CALL_TIMEOUT).await {
            Ok(MetaReply::Leader(leader)) if leader.epoch == epoch => self.set_lease(leader, sent),
            Ok(reply) => {
                warn!(%epoch, ?reply, "lost core leadership: renewal rejected");
                self.step_down();
            }
            Err(error) if self.epoch().is_none() => {
                warn!(%epoch, %error, "lost core leadership: lease expired");
                self.step_down();
            }
            Err(_) => {}
        }
        RENEW_INTERVAL
    }

    async fn try_acquire(&self, ctx: &NodeContext) -> Duration {
        let reply = ctx.state.query_meta(&MetaQuery::State, Instant::now() + CALL_TIMEOUT).await;
        let Ok(MetaAnswer::State(state)) = reply else { return CHECK_INTERVAL };
        if state.cluster == 0 {
            return CHECK_INTERVAL;
        }
        self.known_leader.send_replace(state.leader.clone());
        let seen = match state.leader {
            Some(leader) if !leader.expired => match expire(ctx, &leader).await {
                Ok(()) => leader.epoch,
                Err(pause) => return pause,
            },
            Some(leader) => leader.epoch,
            None => FencingEpoch(0),
        };
        self.acquire(ctx, seen).await
    }

    async fn acquire(&self, ctx: &NodeContext, seen: FencingEpoch) -> Duration {
        let own = &ctx.identity.address;
        let command = MetaCommand::AcquireLeadership {
            core: own.node,
            incarnation: own.incarnation,
            address: own.rpc,
            seen,
        };
        let sent = Instant::now();
        match ctx.state.execute_meta(&command, sent + CALL_TIMEOUT).await {
            Ok(MetaReply::Leader(leader)) if leader.core == own.node => {
                info!(epoch = %leader.epoch, "acquired core leadership");
                self.set_lease(leader, sent);
                RENEW_INTERVAL
            }
            Ok(MetaReply::Refused(MetaRefusal::LeaderAlive { leader })) => {
                self.known_leader.send_replace(Some(leader));
                CHECK_INTERVAL
            }
            _ => CHECK_INTERVAL,
        }
    }
}

/// Expires a lease through the stores; otherwise returns how long to wait before the next attempt.
async fn expire(ctx: &NodeContext, leader: &CoreLeader) -> Result<(), Duration> {
    let (epoch, address) = (leader.epoch, ctx.identity.address.rpc);
    let subject = if leader.address == address {
        LeaseSubject::FormerRun { epoch, address }
    } else {
        LeaseSubject::CoreLeader(epoch)
    };
    let deadline = Instant::now() + CALL_TIMEOUT;
    match ctx.state.expire_lease(META_GROUP, subject, deadline).await {
        Ok(LeaseStatus::Expired | LeaseStatus::Unknown) => Ok(()),
        Ok(LeaseStatus::Held { left_ms }) => {
            Err(Duration::from_millis(left_ms).min(CHECK_INTERVAL))
        }
        Err(_) => Err(CHECK_INTERVAL),
    }
}
