//! Heartbeats and reports of harm that wait for the controllers of the core leader.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use hooklug_protocol::control::{Heartbeat, VersionStatistics};
use hooklug_state::meta::HarmReport;
use hooklug_types::NodeId;
use tokio::sync::Notify;

/// Statistics that may wait; a core that follows and cannot forward drops older ones.
const MOST_STATISTICS: usize = 10_000;

/// Reports of harm that may wait.
const MOST_REPORTS: usize = 256;

/// What came in since the controllers looked last.
#[derive(Debug, Default)]
pub struct Received {
    /// The last heartbeat of each node, without its statistics.
    pub heartbeats: BTreeMap<NodeId, Heartbeat>,
    /// Statistics of all heartbeats.
    pub statistics: Vec<VersionStatistics>,
    /// Harm that gateways found by their own evidence.
    pub harm: Vec<HarmReport>,
}

/// The inbox.
#[derive(Debug, Default)]
pub struct Inbox {
    received: Mutex<Received>,
    arrived: Notify,
}

impl Inbox {
    fn lock(&self) -> MutexGuard<'_, Received> {
        self.received.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a heartbeat in.
    pub fn put_heartbeat(&self, mut heartbeat: Heartbeat) {
        let mut received = self.lock();
        if received.statistics.len() < MOST_STATISTICS {
            received.statistics.append(&mut heartbeat.statistics);
        }
        received.heartbeats.insert(heartbeat.from.node, heartbeat);
        drop(received);
        self.arrived.notify_one();
    }

    /// Puts a report of harm in.
    pub fn put_harm(&self, harm: HarmReport) {
        let mut received = self.lock();
        if received.harm.len() < MOST_REPORTS && !received.harm.contains(&harm) {
            received.harm.push(harm);
        }
        drop(received);
        self.arrived.notify_one();
    }

    /// Takes all that came in.
    pub fn take(&self) -> Received {
        std::mem::take(&mut *self.lock())
    }

    /// Waits until something has come in.
    pub async fn arrived(&self) {
        self.arrived.notified().await;
    }
}
