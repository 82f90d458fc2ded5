//! Polls the active bundle version of each node.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use hooklug_fleet::http::{Ask, HttpClient};
use hooklug_fleet::{Fleet, ProcessName};
use http::Method;
use serde::Deserialize;
use tokio_util::sync::CancellationToken;

use super::recorder::{Recorder, now};
use crate::oracle::evidence::VersionObservation;

/// Pause between two rounds of polls.
const PAUSE: Duration = Duration::from_millis(400);
/// Timeout of the poll of one node.
const LOOK_TIME: Duration = Duration::from_millis(1_000);

#[derive(Debug, Deserialize)]
struct View {
    installed_bundle: u64,
}

/// Polls all nodes repeatedly until `stop` is cancelled.
pub async fn observe(fleet: Arc<Fleet>, recorder: Recorder, stop: CancellationToken) {
    let http = HttpClient::default();
    while !stop.is_cancelled() {
        let nodes = fleet.all_names().into_iter().filter(|name| name.kind.is_node());
        let looks = nodes.map(|name| look(&fleet, &http, name));
        let seen: Vec<VersionObservation> = join_all(looks).await.into_iter().flatten().collect();
        recorder.lock().installed_versions.extend(seen);
        stop.run_until_cancelled(tokio::time::sleep(PAUSE)).await;
    }
}

async fn look(fleet: &Fleet, http: &HttpClient, name: ProcessName) -> Option<VersionObservation> {
    let address = fleet.http_address(name).ok()?;
    let sent_at = now();
    let ask = Ask::new(Method::GET, "/admin/v1/view");
    let answer = http.ask_within(address, &ask, LOOK_TIME).await.ok()?;
    let view: View = answer.json().ok()?;
    Some(VersionObservation { node: name.to_string(), sent_at, version: view.installed_bundle })
}
