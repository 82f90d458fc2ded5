//! Lets calls of one service wait until an engine has room, and tells at once when waiting is of no use.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hooklug_types::{ServiceName, TenantId};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::limits::queue::{CallQueue, Pushed, Ticket};

/// Least time named to a call that is shed (ours).
const LEAST_RETRY: Duration = Duration::from_millis(200);

/// Longest time named to a call that is shed (ours).
const LONGEST_RETRY: Duration = Duration::from_secs(10);

/// What a waiting call hears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wake {
    /// An engine may have room.
    Look,
    /// Another call took its place.
    Shed,
}

/// A call that is not let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Shed {
    /// It could not end in time, or others go first.
    #[error("too much work is waiting")]
    Refused {
        /// When to come back.
        after: Duration,
    },
    /// Its deadline passed while it waited.
    #[error("the deadline passed while the call waited")]
    TimedOut,
}

/// Who waits, and for how long at most.
#[derive(Debug, Clone, Copy)]
pub struct Waiter<'a> {
    /// Whose call.
    pub tenant: &'a TenantId,
    /// Whether it goes before others.
    pub urgent: bool,
    /// When its caller stops waiting.
    pub deadline: Instant,
}

/// What is known of a service when a call has to wait.
#[derive(Debug, Clone, Copy)]
pub struct Crowd {
    /// Calls that may wait.
    pub bound: usize,
    /// Calls that run at once when all engines are full; at least 1.
    pub capacity: u32,
    /// Average time of one call.
    pub average: Duration,
}

/// Queues by service.
#[derive(Debug, Default)]
pub struct Gates {
    queues: Mutex<HashMap<ServiceName, CallQueue<oneshot::Sender<Wake>>>>,
}

impl Gates {
    /// Whether calls of a service wait: a newcomer has to wait behind them.
    #[must_use]
    pub fn is_crowded(&self, service: &ServiceName) -> bool {
        self.lock().get(service).is_some_and(|queue| !queue.is_empty())
    }

    /// Waits until an engine may have room. `look_again` runs once the call is in the queue: room
    /// that came free just before has woken nobody.
    ///
    /// # Errors
    /// [`Shed`], at once when the call could not end in time anyway.
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

    /// Wakes the next waiting call of a service, if there is one.
    pub fn wake(&self, service: &ServiceName) {
        let mut queues = self.lock();
        let Some(queue) = queues.get_mut(service) else { return };
        while let Some(waiting) = queue.pop() {
            if waiting.send(Wake::Look).is_ok() {
                return;
            }
        }
    }

    /// Wakes one waiting call of each service: engines may have come, or limits grown.
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

/// A place in a queue; given up when its caller goes away.
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
