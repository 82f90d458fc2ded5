//! Simulated operators: submit bundles, submit conflicting ones concurrently, resend acknowledged
//! ones, and read them back.

use std::sync::Arc;
use std::time::Duration;

use hooklug_bundle::Bundle;
use hooklug_fleet::http::{HttpClient, HttpError, HttpRequest};
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
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Range of the pause between two actions, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 1_500..5_000;

#[derive(Debug, Deserialize)]
struct BundleResponse {
    bundle: Bundle,
}

/// Runs an operator until `stop` is cancelled.
pub async fn run_operator(
    fleet: Arc<Fleet>,
    recorder: Recorder,
    seed: u64,
    stop: CancellationToken,
) {
    let mut operator = Operator {
        http: HttpClient::default(),
        random: ChaCha8Rng::seed_from_u64(seed),
        acknowledged: Vec::new(),
        fleet,
        recorder,
    };
    while !stop.is_cancelled() {
        operator.perform_action().await;
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
    fn random_node(&mut self) -> Option<ProcessName> {
        let names = self.fleet.all_names().into_iter().filter(|name| name.kind.is_node());
        names.collect::<Vec<_>>().choose(&mut self.random).copied()
    }

    async fn perform_action(&mut self) {
        let Some(node) = self.random_node() else { return };
        let Some(newest) = read_newest_bundle(&self.fleet, &self.http, &self.recorder, node).await
        else {
            return;
        };
        match self.random.random_range(0..4) {
            0 => self.submit_conflicting(&newest).await,
            1 => self.resend().await,
            _ => {
                let next = self.changed_bundle(&newest);
                self.submit(next).await;
            }
        }
    }

    /// Creates a bundle based on `newest`, with changed limits.
    fn changed_bundle(&mut self, newest: &Bundle) -> Bundle {
        let mut next = newest.clone();
        next.base = newest.version;
        next.version = BundleVersion(newest.version.0 + 1);
        for tenant in next.tenants.values_mut() {
            tenant.limits.concurrency = self.random.random_range(4_000..5_000);
        }
        next
    }

    async fn submit(&mut self, bundle: Bundle) {
        let Some(node) = self.random_node() else { return };
        if submit(&self.fleet, &self.recorder, node, &bundle).await {
            self.acknowledged.push(bundle);
        }
    }

    async fn submit_conflicting(&mut self, newest: &Bundle) {
        let (first, mut second) = (self.changed_bundle(newest), self.changed_bundle(newest));
        for tenant in second.tenants.values_mut() {
            // Ensures that the contents of the two bundles differ.
            tenant.limits.concurrency += 1_000;
        }
        let (Some(first_node), Some(second_node)) = (self.random_node(), self.random_node()) else {
            return;
        };
        let (first_accepted, second_accepted) = tokio::join!(
            submit(&self.fleet, &self.recorder, first_node, &first),
            submit(&self.fleet, &self.recorder, second_node, &second),
        );
        self.acknowledged.extend(first_accepted.then_some(first));
        self.acknowledged.extend(second_accepted.then_some(second));
    }

    async fn resend(&mut self) {
        let bundle = self.acknowledged.choose(&mut self.random).cloned();
        let (Some(bundle), Some(node)) = (bundle, self.random_node()) else { return };
        submit(&self.fleet, &self.recorder, node, &bundle).await;
    }
}

/// Reads the newest bundle from a node and records its version.
pub(crate) async fn read_newest_bundle(
    fleet: &Fleet,
    http: &HttpClient,
    recorder: &Recorder,
    node: ProcessName,
) -> Option<Bundle> {
    let sent_at = now();
    let request = HttpRequest::new(Method::GET, "/admin/v1/bundles/current");
    let address = fleet.http_address(node).ok()?;
    let response = http.send_with_timeout(address, &request, READ_TIMEOUT).await.ok()?;
    let content: BundleResponse = response.json().ok()?;
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
