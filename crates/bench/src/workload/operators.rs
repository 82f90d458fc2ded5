//! Simulated operators: submit bundles, submit conflicting ones concurrently, resend acknowledged
//! ones, and read them back.

use std::sync::Arc;
use std::time::Duration;

use hooklug_bundle::Bundle;
use hooklug_fleet::http::{Ask, HttpClient, HttpError};
use hooklug_fleet::{Fleet, FleetError, ProcessName};
use hooklug_types::BundleVersion;
use http::Method;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use tokio_util::sync::CancellationToken;

use super::recorder::{Recorder, now};
use crate::oracle::evidence::{BundleRead, SubmissionOutcome, SubmissionRecord};

/// Timeout of a read.
const READ_TIME: Duration = Duration::from_secs(5);
/// Range of the pause between two actions, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 1_500..5_000;

#[derive(Debug, Deserialize)]
struct Content {
    bundle: Bundle,
}

/// Runs an operator until `stop` is cancelled.
pub async fn operate(fleet: Arc<Fleet>, recorder: Recorder, seed: u64, stop: CancellationToken) {
    let mut operator = Operator {
        http: HttpClient::default(),
        random: ChaCha8Rng::seed_from_u64(seed),
        acknowledged: Vec::new(),
        fleet,
        recorder,
    };
    while !stop.is_cancelled() {
        operator.act().await;
        let pause = Duration::from_millis(operator.random.random_range(PAUSE_MS));
        stop.run_until_cancelled(tokio::time::sleep(pause)).await;
    }
}

struct Operator {
    fleet: Arc<Fleet>,
    recorder: Recorder,
    http: HttpClient,
    random: ChaCha8Rng,
    acknowledged: Vec<Bundle>,
}

impl Operator {
    fn node(&mut self) -> Option<ProcessName> {
        let names = self.fleet.all_names().into_iter().filter(|name| name.kind.is_node());
        names.collect::<Vec<_>>().choose(&mut self.random).copied()
    }

    async fn act(&mut self) {
        let Some(node) = self.node() else { return };
        let Some(seen) = read_back(&self.fleet, &self.http, &self.recorder, node).await else {
            return;
        };
        match self.random.random_range(0..4) {
            0 => self.race(&seen).await,
            1 => self.send_again().await,
            _ => {
                let next = self.changed(&seen);
                self.send(next).await;
            }
        }
    }

    /// Creates a bundle based on `seen`, with changed limits.
    fn changed(&mut self, seen: &Bundle) -> Bundle {
        let mut next = seen.clone();
        next.base = seen.version;
        next.version = BundleVersion(seen.version.0 + 1);
        for tenant in next.tenants.values_mut() {
            tenant.limits.concurrency = self.random.random_range(4_000..5_000);
        }
        next
    }

    async fn send(&mut self, bundle: Bundle) {
        let Some(node) = self.node() else { return };
        if submit(&self.fleet, &self.recorder, node, &bundle).await {
            self.acknowledged.push(bundle);
        }
    }

    async fn race(&mut self, seen: &Bundle) {
        let (first, mut second) = (self.changed(seen), self.changed(seen));
        for tenant in second.tenants.values_mut() {
            // Ensures that the contents of the two bundles differ.
            tenant.limits.concurrency += 1_000;
        }
        let (Some(here), Some(there)) = (self.node(), self.node()) else { return };
        let (one, other) = tokio::join!(
            submit(&self.fleet, &self.recorder, here, &first),
            submit(&self.fleet, &self.recorder, there, &second),
        );
        self.acknowledged.extend(one.then_some(first));
        self.acknowledged.extend(other.then_some(second));
    }

    async fn send_again(&mut self) {
        let again = self.acknowledged.choose(&mut self.random).cloned();
        let (Some(bundle), Some(node)) = (again, self.node()) else { return };
        submit(&self.fleet, &self.recorder, node, &bundle).await;
    }
}

/// Reads the newest bundle from a node and records its version.
pub(crate) async fn read_back(
    fleet: &Fleet,
    http: &HttpClient,
    recorder: &Recorder,
    node: ProcessName,
) -> Option<Bundle> {
    let sent_at = now();
    let ask = Ask::new(Method::GET, "/admin/v1/bundles/current");
    let address = fleet.http_address(node).ok()?;
    let answer = http.ask_within(address, &ask, READ_TIME).await.ok()?;
    let content: Content = answer.json().ok()?;
    let version = content.bundle.version.0;
    recorder.lock().bundle_reads.push(BundleRead { sent_at, version });
    Some(content.bundle)
}

/// Submits a bundle to a node and records the outcome. Returns whether it was acknowledged.
pub(crate) async fn submit(
    fleet: &Fleet,
    recorder: &Recorder,
    node: ProcessName,
    bundle: &Bundle,
) -> bool {
    let sent_at = now();
    let outcome = match fleet.submit_bundle_at(node, bundle).await {
        Ok(_) => SubmissionOutcome::Acknowledged,
        Err(FleetError::Http(HttpError::Status { status, body, .. }))
            if (400..500).contains(&status) =>
        {
            SubmissionOutcome::Refused(body)
        }
        Err(_) => SubmissionOutcome::Inconclusive,
    };
    let acknowledged = outcome == SubmissionOutcome::Acknowledged;
    recorder.lock().submissions.push(SubmissionRecord {
        version: bundle.version.0,
        base: bundle.base.0,
        digest: hooklug_bundle::digest(bundle).to_string(),
        sent_at,
        answered_at: now(),
        outcome,
    });
    acknowledged
}
