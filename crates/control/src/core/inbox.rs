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
const WORTH_TIME: Duration = Duration::from_secs(10);

/// Maximum number of queued statistics; the oldest are dropped first.
const MOST_STATISTICS: usize = 10_000;

/// Maximum number of queued harm reports.
const MOST_REPORTS: usize = 256;

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
struct Dated<T> {
    at: Instant,
    value: T,
}

impl<T> Dated<T> {
    fn is_worth(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) <= WORTH_TIME
    }
}

fn worth<T>(all: impl IntoIterator<Item = Dated<T>>, now: Instant) -> Vec<T> {
    all.into_iter().filter(|dated| dated.is_worth(now)).map(|dated| dated.value).collect()
}

#[derive(Debug, Default)]
struct Waiting {
    heartbeats: BTreeMap<NodeId, Dated<Heartbeat>>,
    statistics: VecDeque<Dated<VersionStatistics>>,
    harm: Vec<Dated<HarmReport>>,
}

/// Queue of heartbeats and harm reports for the controllers of the core leader.
#[derive(Debug, Default)]
pub struct Inbox {
    waiting: Mutex<Waiting>,
    arrived: Notify,
}

impl Inbox {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a heartbeat, which replaces the previous one of its node, and its statistics.
    pub fn put_heartbeat(&self, mut heartbeat: Heartbeat, now: Instant) {
        let statistics = std::mem::take(&mut heartbeat.statistics);
        let mut waiting = self.lock();
        waiting.statistics.extend(statistics.into_iter().map(|value| Dated { at: now, value }));
        let too_many = waiting.statistics.len().saturating_sub(MOST_STATISTICS);
        waiting.statistics.drain(..too_many);
        waiting.heartbeats.retain(|_, known| known.is_worth(now));
        waiting.heartbeats.insert(heartbeat.from.node, Dated { at: now, value: heartbeat });
        drop(waiting);
        self.arrived.notify_one();
    }

    /// Queues a harm report, unless the same report is queued already or the queue is full.
    pub fn put_harm(&self, harm: HarmReport, now: Instant) {
        let mut waiting = self.lock();
        waiting.harm.retain(|known| known.is_worth(now) && known.value != harm);
        if waiting.harm.len() < MOST_REPORTS {
            waiting.harm.push(Dated { at: now, value: harm });
        }
        drop(waiting);
        self.arrived.notify_one();
    }

    /// Removes all queued items and returns those that are not too old.
    pub fn take(&self, now: Instant) -> Received {
        let waiting = std::mem::take(&mut *self.lock());
        Received {
            heartbeats: worth(waiting.heartbeats.into_values(), now),
            statistics: worth(waiting.statistics, now),
            harm: worth(waiting.harm, now),
        }
    }

    /// Waits until an item has arrived.
    pub async fn arrived(&self) {
        self.arrived.notified().await;
    }
}

#[cfg(test)]
mod tests;
