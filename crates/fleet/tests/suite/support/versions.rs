//! Which versions nodes show, over time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hooklug_fleet::ProcessName;
use hooklug_types::BundleVersion;
use tokio::task::JoinHandle;

use super::{TestFleet, pid, running_nodes};

/// Versions that nodes were seen at, each run of a process by itself.
pub struct VersionWatch {
    stop: Arc<AtomicBool>,
    watching: JoinHandle<Vec<String>>,
}

impl VersionWatch {
    /// Looks at all nodes until it is ended.
    pub fn start(fleet: Arc<TestFleet>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let watching = tokio::spawn(watch(fleet, stop.clone()));
        Self { stop, watching }
    }

    /// Fails when a node went back.
    pub async fn end(self) {
        self.stop.store(true, Ordering::SeqCst);
        let steps_back = self.watching.await.unwrap();
        assert!(steps_back.is_empty(), "nodes went back: {steps_back:?}");
    }
}

async fn watch(fleet: Arc<TestFleet>, stop: Arc<AtomicBool>) -> Vec<String> {
    let mut newest = BTreeMap::<(ProcessName, u32), BundleVersion>::new();
    let mut steps_back = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        for node in running_nodes(&fleet) {
            let Some(before) = pid(&fleet, node) else { continue };
            let Ok(seen) = fleet.installed_bundle(node).await else { continue };
            if pid(&fleet, node) != Some(before) {
                continue; // Restarted meanwhile: whose answer it was is not known.
            }
            let known = newest.entry((node, before)).or_default();
            if seen < *known {
                steps_back.push(format!("{node} from {known} to {seen}"));
            }
            *known = seen.max(*known);
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    steps_back
}
