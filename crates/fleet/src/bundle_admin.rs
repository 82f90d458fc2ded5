//! Submits bundles, and reads the committed bundle and the version installed at each node.

use std::time::Duration;

use hooklug_bundle::Bundle;
use hooklug_types::BundleVersion;
use http::{Method, StatusCode};
use serde::Deserialize;
use tokio::time::{Instant, sleep};

use crate::http::{HttpError, HttpRequest};
use crate::readiness::Submitted;
use crate::{Fleet, FleetError, ProcessName};

/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before a submission is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A committed bundle with its record.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct BundleWithRecord {
    /// Record of the bundle.
    pub record: BundleRecord,
    /// Content of the bundle.
    pub bundle: Bundle,
}

/// Record of a committed bundle.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct BundleRecord {
    /// Version of the bundle.
    pub version: BundleVersion,
    /// Digest in hexadecimal.
    pub digest: String,
    /// Reason for an automatic rollback; `None` for a bundle submitted by operators.
    pub rollback: Option<Harm>,
}

/// Why a version was rolled back.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Harm {
    /// Service that was rolled back.
    pub service: String,
    /// Version that regressed.
    pub version: String,
    /// Route on which the regression was detected.
    pub route: Option<String>,
    /// Description with the measurements.
    pub reason: String,
}

/// Result of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The bundle is committed, by this or an earlier submission.
    Accepted(Submitted),
    /// The bundle was rejected permanently.
    Refused {
        /// HTTP status.
        status: u16,
        /// Response body.
        body: String,
    },
}

#[derive(Debug, Deserialize)]
struct View {
    installed_bundle: BundleVersion,
}

impl Fleet {
    /// The bundle version installed at a node.
    ///
    /// # Errors
    /// When the node does not respond.
    pub async fn installed_bundle(&self, name: ProcessName) -> Result<BundleVersion, FleetError> {
        let request = HttpRequest::new(Method::GET, "/admin/v1/view");
        let response =
            self.http.send_with_timeout(self.http_address(name)?, &request, READ_TIMEOUT).await?;
        Ok(response.json::<View>()?.installed_bundle)
    }

    /// The newest bundle committed by a quorum of stores, read through a node.
    ///
    /// # Errors
    /// When the node does not respond, or no quorum is reachable.
    pub async fn current_bundle(&self, name: ProcessName) -> Result<BundleWithRecord, FleetError> {
        let request = HttpRequest::new(Method::GET, "/admin/v1/bundles/current");
        let response =
            self.http.send_with_timeout(self.http_address(name)?, &request, READ_TIMEOUT).await?;
        Ok(response.json()?)
    }

    /// Submits a bundle at one node and retries while the outcome is unknown or the node responds
    /// 503.
    ///
    /// # Errors
    /// The last error when the timeout expires.
    pub async fn submit_until_decided(
        &self,
        name: ProcessName,
        bundle: &Bundle,
        time: Duration,
    ) -> Result<SubmitOutcome, FleetError> {
        let deadline = Instant::now() + time;
        loop {
            let error = match self.submit_bundle_at(name, bundle).await {
                Ok(submitted) => return Ok(SubmitOutcome::Accepted(submitted)),
                Err(FleetError::Http(HttpError::Status { status, body, .. }))
                    if status != StatusCode::SERVICE_UNAVAILABLE.as_u16() =>
                {
                    return Ok(SubmitOutcome::Refused { status, body });
                }
                Err(error) => error,
            };
            if Instant::now() >= deadline {
                return Err(error);
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// The topology's bundle at a version, based on the version before it. `marker` makes its
    /// content differ from other bundles of that version.
    ///
    /// # Errors
    /// When the name of a tool is not a valid route name.
    pub fn marked_bundle(&self, version: u64, marker: u32) -> Result<Bundle, FleetError> {
        let base = BundleVersion(version.saturating_sub(1));
        let result = self.topology().bundle(BundleVersion(version), base);
        let mut bundle = result.map_err(|e| FleetError::Unexpected(e.to_string()))?;
        for service in bundle.services.values_mut() {
            service.queue_per_engine = marker;
        }
        Ok(bundle)
    }
}
