//! Heartbeats and reports of harm that wait for the controllers of the core leader.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hooklug_protocol::control::{Heartbeat, VersionStatistics};
use hooklug_state::meta::HarmReport;
use hooklug_types::NodeId;
use tokio::sync::Notify;

/// What waits for longer than this is dropped (ours): a core that follows takes in what it cannot forward,
/// and must not act on old evidence when it leads one day.
const WORTH_TIME: Duration = Duration::from_secs(10);

/// Statistics that may wait; older ones give way.
const MOST_STATISTICS: usize = 10_000;

/// Reports of harm that may wait.
const MOST_REPORTS: usize = 256;

/// What came in since the controllers looked last.
#[derive(Debug, Default)]
pub struct Received {
    /// The last heartbeat of each node, without its statistics.
    pub heartbeats: Vec<Heartbeat>,
    /// Statistics of all heartbeats.
    pub statistics: Vec<VersionStatistics>,
    /// Harm that gateways found by their own evidence.
    pub harm: Vec<HarmReport>,
}

/// Something and when it came in.
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

/// The inbox.
#[derive(Debug, Default)]
pub struct Inbox {
    waiting: Mutex<Waiting>,
    arrived: Notify,
}

impl Inbox {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a heartbeat in.
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

    /// Puts a report of harm in.
    pub fn put_harm(&self, harm: HarmReport, now: Instant) {
        let mut waiting = self.lock();
        waiting.harm.retain(|known| known.is_worth(now) && known.value != harm);
        if waiting.harm.len() < MOST_REPORTS {
            waiting.harm.push(Dated { at: now, value: harm });
        }
        drop(waiting);
        self.arrived.notify_one();
    }

    /// Takes all that came in lately.
    pub fn take(&self, now: Instant) -> Received {
        let waiting = std::mem::take(&mut *self.lock());
        Received {
            heartbeats: worth(waiting.heartbeats.into_values(), now),
            statistics: worth(waiting.statistics, now),
            harm: worth(waiting.harm, now),
        }
    }

    /// Waits until something has come in.
    pub async fn arrived(&self) {
        self.arrived.notified().await;
    }
}

#[cfg(test)]
mod tests;
