//! Follows the leader's view while another core leads, and serves it from this core.

use std::net::SocketAddr;
use std::time::Duration;

use hooklug_protocol::control::{ClusterView, WatchView};
use tokio::time::{Instant, timeout};
use tracing::debug;

use super::Shared;
use crate::view::{ApplyResult, apply_item};

/// Time without an item after which the stream is reopened; the leader sends an empty item each
/// second.
const STREAM_TIMEOUT: Duration = Duration::from_millis(2_500);

const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

const RETRY_DELAY: Duration = Duration::from_millis(100);

pub(super) async fn run(shared: &Shared) {
    loop {
        if let Some(leader) = shared.other_leader() {
            let mut known = shared.leadership.watch_leader();
            known.mark_unchanged();
            let moved =
                known.wait_for(|l| l.as_ref().is_none_or(|l| l.expired || l.address != leader));
            tokio::select! {
                () = follow(shared, leader) => {}
                _ = moved => {}
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

async fn follow(shared: &Shared, leader: SocketAddr) {
    let request = WatchView { from: shared.ctx.identity.address.clone() };
    let opened = shared.ctx.client.open(leader, &request, Instant::now() + OPEN_TIMEOUT).await;
    let Ok(mut items) = opened else { return };
    let mut view = ClusterView::default();
    while let Ok(Ok(Some(item))) = timeout(STREAM_TIMEOUT, items.next()).await {
        if apply_item(&mut view, item) == ApplyResult::Gap {
            debug!(%leader, "view stream of the leader has a gap; reopening it");
            return;
        }
        shared.published.publish(view.clone());
        shared.published.mark_fresh();
    }
}
