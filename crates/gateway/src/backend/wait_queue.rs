//! Per-service queues of calls waiting for a free engine slot. A call that cannot finish before its
//! deadline is rejected at once.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hooklug_types::{ServiceName, TenantId};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::limits::queue::{CallQueue, PushResult, Ticket};

/// Minimum retry delay sent with a shed call.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum retry delay sent with a shed call.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

/// Notification to a queued call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wakeup {
    /// An engine may have a free slot.
    SlotFree,
    /// Another call displaced this one.
    Displaced,
}

/// Why a queued call did not get its turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum WaitError {
    /// The call could not finish in time, or the queue is full.
    #[error("the service's request queue is full or the call cannot finish before its deadline")]
    Rejected {
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
pub struct ServiceLoad {
    /// Maximum number of queued calls.
    pub bound: usize,
    /// Concurrent calls when all engines are full; at least 1.
    pub capacity: u32,
    /// Average duration of one call.
    pub average: Duration,
}

/// Wait queues by service.
#[derive(Debug, Default)]
pub struct WaitQueues {
    queues: Mutex<HashMap<ServiceName, CallQueue<oneshot::Sender<Wakeup>>>>,
}

impl WaitQueues {
    /// Returns whether calls of a service are queued; a new call must then wait behind them.
    #[must_use]
    pub fn has_queued_calls(&self, service: &ServiceName) -> bool {
        self.lock().get(service).is_some_and(|queue| !queue.is_empty())
    }

    /// Waits until an engine may have a free slot. `recheck` runs once the call is queued,
    /// because a slot released just before notified no waiter.
    ///
    /// # Errors
    /// [`WaitError`], returned at once when the call could not finish in time anyway.
    pub async fn wait(
        &self,
        service: &ServiceName,
        waiter: Waiter<'_>,
        load: ServiceLoad,
        recheck: impl FnOnce(),
    ) -> Result<(), WaitError> {
        let (sender, wakeup) = oneshot::channel();
        let (ticket, wait) = self.enqueue(service, waiter, load, sender)?;
        let queued = QueuedCall { wait_queues: self, service, ticket };
        recheck();
        let outcome = tokio::time::timeout_at(waiter.deadline, wakeup).await;
        drop(queued);
        match outcome {
            Ok(Ok(Wakeup::SlotFree)) => Ok(()),
            Ok(Ok(Wakeup::Displaced) | Err(_)) => {
                Err(WaitError::Rejected { after: clamp_retry_delay(wait) })
            }
            Err(_) => Err(WaitError::TimedOut),
        }
    }

    fn enqueue(
        &self,
        service: &ServiceName,
        waiter: Waiter<'_>,
        load: ServiceLoad,
        sender: oneshot::Sender<Wakeup>,
    ) -> Result<(Ticket, Duration), WaitError> {
        let mut queues = self.lock();
        let queue = queues.entry(service.clone()).or_default();
        let ahead = if waiter.urgent { 0 } else { queue.len() };
        let wait = expected_wait(ahead, load);
        if Instant::now() + wait + load.average > waiter.deadline {
            return Err(WaitError::Rejected { after: clamp_retry_delay(wait) });
        }
        let pushed = queue.push(waiter.tenant, waiter.urgent, waiter.deadline, load.bound, sender);
        match pushed {
            PushResult::Waiting(ticket) => Ok((ticket, wait)),
            PushResult::Displaced(ticket, other) => {
                let _ = other.send(Wakeup::Displaced);
                Ok((ticket, wait))
            }
            PushResult::Full(_) => Err(WaitError::Rejected { after: clamp_retry_delay(wait) }),
        }
    }

    /// Notifies the next queued call of a service, if there is one.
    pub fn wake_next(&self, service: &ServiceName) {
        let mut queues = self.lock();
        let Some(queue) = queues.get_mut(service) else { return };
        while let Some(waiter) = queue.pop() {
            if waiter.send(Wakeup::SlotFree).is_ok() {
                return;
            }
        }
    }

    /// Notifies one queued call of each service, after engines may have joined or limits may have
    /// grown.
    pub fn wake_one_per_service(&self) {
        let services: Vec<ServiceName> = self.lock().keys().cloned().collect();
        services.iter().for_each(|service| self.wake_next(service));
    }

    fn lock(
        &self,
    ) -> std::sync::MutexGuard<'_, HashMap<ServiceName, CallQueue<oneshot::Sender<Wakeup>>>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A queued call; dropping it removes the call from its queue.
struct QueuedCall<'a> {
    wait_queues: &'a WaitQueues,
    service: &'a ServiceName,
    ticket: Ticket,
}

impl Drop for QueuedCall<'_> {
    fn drop(&mut self) {
        if let Some(queue) = self.wait_queues.lock().get_mut(self.service) {
            queue.remove(&self.ticket);
        }
    }
}

fn expected_wait(ahead: usize, load: ServiceLoad) -> Duration {
    let rounds = (ahead + 1) as f64 / f64::from(load.capacity.max(1));
    load.average.mul_f64(rounds)
}

fn clamp_retry_delay(wait: Duration) -> Duration {
    wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
}
