//! Polls the active bundle version of each node.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use hooklug_fleet::http::{HttpClient, HttpRequest};
use hooklug_fleet::{Fleet, ProcessName};
use http::Method;
use serde::Deserialize;
use tokio_util::sync::CancellationToken;

use super::recorder::{Recorder, now};
use crate::oracle::evidence::VersionObservation;

/// Pause between two rounds of polls.
const POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of the poll of one node.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_000);

#[derive(Debug, Deserialize)]
struct View {
    installed_bundle: u64,
}

/// Polls all nodes repeatedly until `stop` is cancelled.
pub async fn poll_versions(fleet: Arc<Fleet>, recorder: Recorder, stop: CancellationToken) {
    let http = HttpClient::default();
    while !stop.is_cancelled() {
        let nodes = fleet.all_names().into_iter().filter(|name| name.kind.is_node());
        let polls = nodes.map(|name| poll_node(&fleet, &http, name));
        let observations: Vec<VersionObservation> =
            join_all(polls).await.into_iter().flatten().collect();
        recorder.lock().installed_versions.extend(observations);
        stop.run_until_cancelled(tokio::time::sleep(POLL_INTERVAL)).await;
    }
}

async fn poll_node(
    fleet: &Fleet,
    http: &HttpClient,
    name: ProcessName,
) -> Option<VersionObservation> {
    let address = fleet.http_address(name).ok()?;
    let sent_at = now();
    let request = HttpRequest::new(Method::GET, "/admin/v1/view");
    let response = http.send_with_timeout(address, &request, POLL_TIMEOUT).await.ok()?;
    let view: View = response.json().ok()?;
    Some(VersionObservation { node: name.to_string(), sent_at, version: view.installed_bundle })
}
