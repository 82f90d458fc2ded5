//! Tracks whether cores and stores are reachable; a node that reaches neither is not ready.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use super::Shared;
use crate::handle::Reachability;
use crate::metrics;

/// Name of this component among the reasons for not being ready.
pub(super) const COMPONENT: &str = "reach";

/// Time without a reply of any core or store after which a node is not ready (design document,
/// section 4: 2 s).
const NOT_READY_AFTER: Duration = Duration::from_secs(2);

/// Time for which a reply counts as recent: two query rounds and a slow reply.
const RECENT_TIME: Duration = Duration::from_secs(3);

const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Times of the last reply of a core and of a store.
#[derive(Debug, Default)]
pub(super) struct ReachabilityTracker {
    core: Mutex<Option<Instant>>,
    store: Mutex<Option<Instant>>,
}

fn set_now(at: &Mutex<Option<Instant>>) {
    *at.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
}

fn is_within(at: &Mutex<Option<Instant>>, time: Duration) -> bool {
    let at = *at.lock().unwrap_or_else(PoisonError::into_inner);
    at.is_some_and(|at| at.elapsed() < time)
}

impl ReachabilityTracker {
    pub(super) fn record_core_reply(&self) {
        set_now(&self.core);
    }

    pub(super) fn record_store_reply(&self) {
        set_now(&self.store);
    }

    pub(super) fn core_is_reachable(&self) -> bool {
        is_within(&self.core, NOT_READY_AFTER)
    }

    fn any_is_reachable(&self) -> bool {
        self.core_is_reachable() || is_within(&self.store, NOT_READY_AFTER)
    }
}

pub(super) async fn run(shared: Arc<Shared>) {
    loop {
        let reach = Reachability {
            core: is_within(&shared.reachability.core, RECENT_TIME),
            store: is_within(&shared.reachability.store, RECENT_TIME),
            newest_bundle: *shared.newest_bundle.borrow(),
        };
        metrics::set_rpc_traffic(shared.identity.traffic.counts());
        metrics::set_node_state(shared.readiness.reasons().is_empty(), reach);
        shared.reach_sender.send_if_modified(|known| {
            let changed = *known != reach;
            *known = reach;
            changed
        });
        if shared.reachability.any_is_reachable() {
            shared.readiness.set_ready(COMPONENT);
        } else {
            let reason =
                format!("no core or store has replied for {} s", NOT_READY_AFTER.as_secs());
            shared.readiness.set_not_ready(COMPONENT, reason);
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}
