//! Heartbeats and harm reports that are queued for the controllers of the core leader.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hooklug_protocol::control::{Heartbeat, VersionStatistics};
use hooklug_state::meta::HarmReport;
use hooklug_types::NodeId;
use tokio::sync::Notify;

/// Age above which queued items are dropped. A core that follows queues what it cannot forward, and
/// must not act on old evidence if it becomes the leader later.
const MAX_AGE: Duration = Duration::from_secs(10);

/// Maximum number of queued statistics; the oldest are dropped first.
const MAX_STATISTICS: usize = 10_000;

/// Maximum number of queued harm reports.
const MAX_HARM_REPORTS: usize = 256;

/// Everything that arrived since the controllers last read the inbox.
#[derive(Debug, Default)]
pub struct Received {
    /// The last heartbeat of each node, without its statistics.
    pub heartbeats: Vec<Heartbeat>,
    /// Statistics of all heartbeats.
    pub statistics: Vec<VersionStatistics>,
    /// Reports of harmful versions that gateways detected themselves.
    pub harm: Vec<HarmReport>,
}

/// A value and the time at which it arrived.
#[derive(Debug)]
struct Timestamped<T> {
    at: Instant,
    value: T,
}

impl<T> Timestamped<T> {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) <= MAX_AGE
    }
}

fn recent<T>(all: impl IntoIterator<Item = Timestamped<T>>, now: Instant) -> Vec<T> {
    all.into_iter().filter(|item| item.is_recent(now)).map(|item| item.value).collect()
}

#[derive(Debug, Default)]
struct Queues {
    heartbeats: BTreeMap<NodeId, Timestamped<Heartbeat>>,
    statistics: VecDeque<Timestamped<VersionStatistics>>,
    harm: Vec<Timestamped<HarmReport>>,
}

/// Queue of heartbeats and harm reports for the controllers of the core leader.
#[derive(Debug, Default)]
pub struct Inbox {
    queues: Mutex<Queues>,
    arrived: Notify,
}

impl Inbox {
    fn lock(&self) -> MutexGuard<'_, Queues> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a heartbeat, which replaces the previous one of its node, and its statistics.
    pub fn push_heartbeat(&self, mut heartbeat: Heartbeat, now: Instant) {
        let statistics = std::mem::take(&mut heartbeat.statistics);
        let mut queues = self.lock();
        queues
            .statistics
            .extend(statistics.into_iter().map(|value| Timestamped { at: now, value }));
        let too_many = queues.statistics.len().saturating_sub(MAX_STATISTICS);
        queues.statistics.drain(..too_many);
        queues.heartbeats.retain(|_, known| known.is_recent(now));
        queues.heartbeats.insert(heartbeat.from.node, Timestamped { at: now, value: heartbeat });
        drop(queues);
        self.arrived.notify_one();
    }

    /// Queues a harm report, unless the same report is queued already or the queue is full.
    pub fn push_harm(&self, harm: HarmReport, now: Instant) {
        let mut queues = self.lock();
        queues.harm.retain(|known| known.is_recent(now) && known.value != harm);
        if queues.harm.len() < MAX_HARM_REPORTS {
            queues.harm.push(Timestamped { at: now, value: harm });
        }
        drop(queues);
        self.arrived.notify_one();
    }

    /// Removes all queued items and returns those that are not too old.
    pub fn take(&self, now: Instant) -> Received {
        let queues = std::mem::take(&mut *self.lock());
        Received {
            heartbeats: recent(queues.heartbeats.into_values(), now),
            statistics: recent(queues.statistics, now),
            harm: recent(queues.harm, now),
        }
    }

    /// Waits until an item has arrived.
    pub async fn arrived(&self) {
        self.arrived.notified().await;
    }
}

#[cfg(test)]
mod tests;
