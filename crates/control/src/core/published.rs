//! The cluster view that this core serves: built here while it leads, otherwise followed from the
//! leader.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hooklug_protocol::control::{ClusterView, ViewChange, ViewItem, WatchView};
use hooklug_rpc::ItemSink;
use hooklug_types::Revision;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use crate::view::changes;

/// Time since the last contact with the core leader at which the view is no longer served.
const STALE_AFTER: Duration = Duration::from_secs(4);

/// Time without changes after which an empty item is sent as a keepalive.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Time for which changes are batched before they are sent (design document, section 7: 100 ms).
const BATCH_TIME: Duration = Duration::from_millis(100);

/// A view and the changes that led to it from the previous one.
#[derive(Debug, Clone, Default)]
struct Step {
    view: Arc<ClusterView>,
    from: Revision,
    changes: Arc<Vec<ViewChange>>,
}

/// The view that this core serves.
#[derive(Debug)]
pub struct PublishedView {
    step: watch::Sender<Step>,
    confirmed_at: Mutex<Option<Instant>>,
}

impl Default for PublishedView {
    fn default() -> Self {
        Self { step: watch::Sender::new(Step::default()), confirmed_at: Mutex::new(None) }
    }
}

impl PublishedView {
    /// Returns the current view.
    #[must_use]
    pub fn view(&self) -> Arc<ClusterView> {
        self.step.borrow().view.clone()
    }

    /// Records that the view currently matches the core leader's.
    pub fn mark_fresh(&self) {
        *self.confirmed_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }

    fn is_fresh(&self) -> bool {
        let at = *self.confirmed_at.lock().unwrap_or_else(PoisonError::into_inner);
        at.is_some_and(|at| at.elapsed() < STALE_AFTER)
    }

    /// Publishes a newer view; an older one is ignored.
    pub fn publish(&self, next: ClusterView) {
        self.step.send_if_modified(|step| {
            if next.revision <= step.view.revision {
                return false;
            }
            let changes = Arc::new(changes(&step.view, &next));
            *step = Step { from: step.view.revision, view: Arc::new(next), changes };
            true
        });
    }

    /// Serves a follower until it disconnects or the view is stale.
    pub async fn serve(
        &self,
        sink: ItemSink<<WatchView as hooklug_protocol::StreamRequest>::Item>,
    ) {
        let mut steps = self.step.subscribe();
        let mut sent: Option<Arc<ClusterView>> = None;
        while self.is_fresh() {
            let step = steps.borrow_and_update().clone();
            let item = next_item(sent.as_deref(), &step);
            sent = Some(step.view);
            if sink.send(&item).await.is_err() {
                return;
            }
            tokio::time::sleep(BATCH_TIME).await;
            if !matches!(timeout(KEEP_ALIVE, steps.changed()).await, Ok(Ok(())) | Err(_)) {
                return;
            }
        }
    }
}

/// Returns the item that updates a follower from the view last sent to the current one.
fn next_item(sent: Option<&ClusterView>, step: &Step) -> ViewItem {
    let Some(sent) = sent else { return ViewItem::Full(Box::new(ClusterView::clone(&step.view))) };
    let to = step.view.revision;
    let changes = if sent.revision == to {
        Vec::new()
    } else if sent.revision == step.from {
        step.changes.to_vec()
    } else {
        changes(sent, &step.view)
    };
    ViewItem::Changes { from: sent.revision, to, changes }
}
