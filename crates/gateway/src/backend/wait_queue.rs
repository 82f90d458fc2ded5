//! Per-service queues of calls waiting for a free engine slot. A call that cannot finish before its
//! deadline is rejected at once.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hooklug_types::{ServiceName, TenantId};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::limits::queue::{CallQueue, Pushed, Ticket};

/// Minimum retry delay sent with a shed call.
const LEAST_RETRY: Duration = Duration::from_millis(200);

/// Maximum retry delay sent with a shed call.
const LONGEST_RETRY: Duration = Duration::from_secs(10);

/// Notification to a queued call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wake {
    /// An engine may have a free slot.
    Look,
    /// Another call displaced this one.
    Shed,
}

/// Why a queued call did not get its turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Shed {
    /// The call could not finish in time, or the queue is full.
    #[error("the service's request queue is full or the call cannot finish before its deadline")]
    Refused {
        /// Time after which to retry.
        after: Duration,
    },
    /// The deadline passed while the call was queued.
    #[error("the deadline passed while the call was queued")]
    TimedOut,
}

/// Queueing parameters of a call.
#[derive(Debug, Clone, Copy)]
pub struct Waiter<'a> {
    /// Tenant of the call.
    pub tenant: &'a TenantId,
    /// Whether the call precedes non-urgent ones.
    pub urgent: bool,
    /// Deadline of the call.
    pub deadline: Instant,
}

/// Queue bound, capacity and call duration of a service when a call has to wait.
#[derive(Debug, Clone, Copy)]
pub struct Crowd {
    /// Maximum number of queued calls.
    pub bound: usize,
    /// Concurrent calls when all engines are full; at least 1.
    pub capacity: u32,
    /// Average duration of one call.
    pub average: Duration,
}

/// Wait queues by service.
#[derive(Debug, Default)]
pub struct Gates {
    queues: Mutex<HashMap<ServiceName, CallQueue<oneshot::Sender<Wake>>>>,
}

impl Gates {
    /// Returns whether calls of a service are queued; a new call must then wait behind them.
    #[must_use]
    pub fn is_crowded(&self, service: &ServiceName) -> bool {
        self.lock().get(service).is_some_and(|queue| !queue.is_empty())
    }

    /// Waits until an engine may have a free slot. `look_again` runs once the call is queued,
    /// because a slot released just before notified no waiter.
    ///
    /// # Errors
    /// [`Shed`], returned at once when the call could not finish in time anyway.
    pub async fn wait(
        &self,
        service: &ServiceName,
        waiter: Waiter<'_>,
        crowd: Crowd,
        look_again: impl FnOnce(),
    ) -> Result<(), Shed> {
        let (sender, woken) = oneshot::channel();
        let (ticket, wait) = self.enter(service, waiter, crowd, sender)?;
        let entered = Entered { gates: self, service, ticket };
        look_again();
        let outcome = tokio::time::timeout_at(waiter.deadline, woken).await;
        drop(entered);
        match outcome {
            Ok(Ok(Wake::Look)) => Ok(()),
            Ok(Ok(Wake::Shed) | Err(_)) => Err(Shed::Refused { after: bounded(wait) }),
            Err(_) => Err(Shed::TimedOut),
        }
    }

    fn enter(
        &self,
        service: &ServiceName,
        waiter: Waiter<'_>,
        crowd: Crowd,
        sender: oneshot::Sender<Wake>,
    ) -> Result<(Ticket, Duration), Shed> {
        let mut queues = self.lock();
        let queue = queues.entry(service.clone()).or_default();
        let ahead = if waiter.urgent { 0 } else { queue.len() };
        let wait = expected_wait(ahead, crowd);
        if Instant::now() + wait + crowd.average > waiter.deadline {
            return Err(Shed::Refused { after: bounded(wait) });
        }
        let pushed = queue.push(waiter.tenant, waiter.urgent, waiter.deadline, crowd.bound, sender);
        match pushed {
            Pushed::Waiting(ticket) => Ok((ticket, wait)),
            Pushed::Displaced(ticket, other) => {
                let _ = other.send(Wake::Shed);
                Ok((ticket, wait))
            }
            Pushed::Full(_) => Err(Shed::Refused { after: bounded(wait) }),
        }
    }

    /// Notifies the next queued call of a service, if there is one.
    pub fn wake(&self, service: &ServiceName) {
        let mut queues = self.lock();
        let Some(queue) = queues.get_mut(service) else { return };
        while let Some(waiting) = queue.pop() {
            if waiting.send(Wake::Look).is_ok() {
                return;
            }
        }
    }

    /// Notifies one queued call of each service, after engines may have joined or limits may have
    /// grown.
    pub fn wake_all(&self) {
        let services: Vec<ServiceName> = self.lock().keys().cloned().collect();
        services.iter().for_each(|service| self.wake(service));
    }

    fn lock(
        &self,
    ) -> std::sync::MutexGuard<'_, HashMap<ServiceName, CallQueue<oneshot::Sender<Wake>>>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A queued call; dropping it removes the call from its queue.
struct Entered<'a> {
    gates: &'a Gates,
    service: &'a ServiceName,
    ticket: Ticket,
}

impl Drop for Entered<'_> {
    fn drop(&mut self) {
        if let Some(queue) = self.gates.lock().get_mut(self.service) {
            queue.remove(&self.ticket);
        }
    }
}

fn expected_wait(ahead: usize, crowd: Crowd) -> Duration {
    let rounds = (ahead + 1) as f64 / f64::from(crowd.capacity.max(1));
    crowd.average.mul_f64(rounds)
}

fn bounded(wait: Duration) -> Duration {
    wait.clamp(LEAST_RETRY, LONGEST_RETRY)
}
