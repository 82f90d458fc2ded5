//! Checks whether every replication group has all its replicas again.

use std::time::Duration;

use hooklug_fleet::http::{HttpClient, HttpRequest};
use hooklug_fleet::{Fleet, ProcessKind};
use http::Method;
use serde::Deserialize;
use tokio::time::{Instant, sleep};

/// Replicas of a group (design document).
const REPLICAS: usize = 3;
/// Log entries that a caught-up replica may lag behind, because entries are in flight under load.
const MAX_LAG: u64 = 500;
/// Pause between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug, Deserialize)]
struct Shard {
    replicas: Vec<Replica>,
}

#[derive(Debug, Deserialize)]
struct Replica {
    member: String,
    lag: Option<u64>,
}

impl Shard {
    fn is_fully_replicated(&self) -> bool {
        let voters = || self.replicas.iter().filter(|replica| replica.member == "voter");
        let is_caught_up = |replica: &Replica| replica.lag.is_some_and(|lag| lag <= MAX_LAG);
        voters().count() >= REPLICAS && voters().all(is_caught_up)
    }
}

/// Waits until all groups are fully replicated. Returns the time that it took, or `None` on
/// timeout.
pub(super) async fn wait_fully_replicated(fleet: &Fleet, timeout: Duration) -> Option<Duration> {
    let http = HttpClient::default();
    let start_time = Instant::now();
    while start_time.elapsed() < timeout {
        if are_fully_replicated(fleet, &http).await {
            return Some(start_time.elapsed());
        }
        sleep(POLL_INTERVAL).await;
    }
    None
}

async fn are_fully_replicated(fleet: &Fleet, http: &HttpClient) -> bool {
    let request = HttpRequest::new(Method::GET, "/admin/v1/shards");
    for name in fleet.names(ProcessKind::Gateway) {
        let Ok(address) = fleet.http_address(name) else { continue };
        let Ok(response) = http.send(address, &request).await else { continue };
        let Ok(shards) = response.json::<Vec<Shard>>() else { continue };
        return !shards.is_empty() && shards.iter().all(Shard::is_fully_replicated);
    }
    false
}
