//! Tracks whether cores and stores are reachable; a node that reaches neither is not ready.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use super::Shared;
use crate::handle::Reach;
use crate::metrics;

/// Name of this component among the reasons for not being ready.
pub(super) const COMPONENT: &str = "reach";

/// Time without a reply of any core or store after which a node is not ready (design document,
/// section 4: 2 s).
const SILENCE: Duration = Duration::from_secs(2);

/// Time for which a reply counts as recent: two query rounds and a slow reply.
const LATELY: Duration = Duration::from_secs(3);

const CHECK_PAUSE: Duration = Duration::from_millis(100);

/// Times of the last reply of a core and of a store.
#[derive(Debug, Default)]
pub(super) struct ReachClock {
    core: Mutex<Option<Instant>>,
    store: Mutex<Option<Instant>>,
}

fn set(at: &Mutex<Option<Instant>>) {
    *at.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
}

fn within(at: &Mutex<Option<Instant>>, span: Duration) -> bool {
    let at = *at.lock().unwrap_or_else(PoisonError::into_inner);
    at.is_some_and(|at| at.elapsed() < span)
}

impl ReachClock {
    pub(super) fn core_answered(&self) {
        set(&self.core);
    }

    pub(super) fn store_answered(&self) {
        set(&self.store);
    }

    pub(super) fn core_answers(&self) -> bool {
        within(&self.core, SILENCE)
    }

    fn anyone_answers(&self) -> bool {
        self.core_answers() || within(&self.store, SILENCE)
    }
}

pub(super) async fn run(shared: Arc<Shared>) {
    loop {
        let reach = Reach {
            core: within(&shared.reach.core, LATELY),
            store: within(&shared.reach.store, LATELY),
            newest_bundle: *shared.newest_bundle.borrow(),
        };
        metrics::rpc_traffic(shared.identity.traffic.counts());
        metrics::node_state(shared.readiness.reasons().is_empty(), reach);
        shared.reach_feed.send_if_modified(|known| {
            let changed = *known != reach;
            *known = reach;
            changed
        });
        if shared.reach.anyone_answers() {
            shared.readiness.ready(COMPONENT);
        } else {
            let reason = format!("no core or store has replied for {} s", SILENCE.as_secs());
            shared.readiness.unready(COMPONENT, reason);
        }
        tokio::time::sleep(CHECK_PAUSE).await;
    }
}
