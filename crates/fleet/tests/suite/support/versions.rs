//! Watches the bundle versions that nodes report.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hooklug_fleet::ProcessName;
use hooklug_types::BundleVersion;
use tokio::task::JoinHandle;

use super::{TestFleet, pid, running_nodes};

/// Checks in the background that the version that a process reports never decreases.
pub struct VersionWatch {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Vec<String>>,
}

impl VersionWatch {
    /// Polls all nodes until it is stopped.
    pub fn start(fleet: Arc<TestFleet>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let task = tokio::spawn(watch(fleet, stop.clone()));
        Self { stop, task }
    }

    /// Stops polling and asserts that no node reported an older version than before.
    pub async fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        let regressions = self.task.await.unwrap();
        assert!(
            regressions.is_empty(),
            "nodes reported older versions than before: {regressions:?}"
        );
    }
}

async fn watch(fleet: Arc<TestFleet>, stop: Arc<AtomicBool>) -> Vec<String> {
    let mut newest = BTreeMap::<(ProcessName, u32), BundleVersion>::new();
    let mut regressions = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        for node in running_nodes(&fleet) {
            let Some(before) = pid(&fleet, node) else { continue };
            let Ok(current_version) = fleet.installed_bundle(node).await else { continue };
            if pid(&fleet, node) != Some(before) {
                continue; // Restarted meanwhile, so it is unknown which process responded.
            }
            let known = newest.entry((node, before)).or_default();
            if current_version < *known {
                regressions.push(format!("{node} from {known} to {current_version}"));
            }
            *known = current_version.max(*known);
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    regressions
}
