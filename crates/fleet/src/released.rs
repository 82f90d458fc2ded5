//! What bundle is acknowledged, and what is in force at each node.

use std::time::Duration;

use hooklug_bundle::Bundle;
use hooklug_types::BundleVersion;
use http::{Method, StatusCode};
use serde::Deserialize;
use tokio::time::{Instant, sleep};

use crate::http::{Ask, HttpError};
use crate::readiness::Submitted;
use crate::{Fleet, FleetError, ProcessName};

/// Longest wait for one look (ours).
const LOOK_TIME: Duration = Duration::from_secs(5);
/// Pause before a submission goes out again (ours).
const PAUSE: Duration = Duration::from_millis(50);

/// A bundle as stores give it out.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct ReadBundle {
    /// What is known of it.
    pub record: BundleRecord,
    /// Its content.
    pub bundle: Bundle,
}

/// What is known of a committed bundle.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct BundleRecord {
    /// Its version.
    pub version: BundleVersion,
    /// Its digest, in hexadecimal.
    pub digest: String,
    /// Why the system made it, when it did.
    pub rollback: Option<Harm>,
}

/// Why a version was rolled back.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Harm {
    /// The service.
    pub service: String,
    /// The harmful version.
    pub version: String,
    /// The route on which it showed.
    pub route: Option<String>,
    /// The figures, in words.
    pub reason: String,
}

/// What came of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It is committed, now or before.
    Accepted(Submitted),
    /// It is refused for good.
    Refused {
        /// HTTP status.
        status: u16,
        /// The answer.
        body: String,
    },
}

#[derive(Debug, Deserialize)]
struct View {
    installed_bundle: BundleVersion,
}

impl Fleet {
    /// The bundle version in force at a node.
    ///
    /// # Errors
    /// When it does not answer.
    pub async fn installed_bundle(&self, name: ProcessName) -> Result<BundleVersion, FleetError> {
        let ask = Ask::new(Method::GET, "/admin/v1/view");
        let answer = self.http.ask_within(self.http_address(name)?, &ask, LOOK_TIME).await?;
        Ok(answer.json::<View>()?.installed_bundle)
    }

    /// The newest bundle that a quorum of stores knows, read through a node.
    ///
    /// # Errors
    /// When the node does not answer, or no quorum does.
    pub async fn current_bundle(&self, name: ProcessName) -> Result<ReadBundle, FleetError> {
        let ask = Ask::new(Method::GET, "/admin/v1/bundles/current");
        let answer = self.http.ask_within(self.http_address(name)?, &ask, LOOK_TIME).await?;
        Ok(answer.json()?)
    }

    /// Submits a bundle at one node, again while there is no answer or one that claims nothing.
    ///
    /// # Errors
    /// The last answer when the time is over.
    pub async fn submit_until_decided(
        &self,
        name: ProcessName,
        bundle: &Bundle,
        time: Duration,
    ) -> Result<Verdict, FleetError> {
        let deadline = Instant::now() + time;
        loop {
            let error = match self.submit_bundle_at(name, bundle).await {
                Ok(submitted) => return Ok(Verdict::Accepted(submitted)),
                Err(FleetError::Http(HttpError::Status { status, body, .. }))
                    if status != StatusCode::SERVICE_UNAVAILABLE.as_u16() =>
                {
                    return Ok(Verdict::Refused { status, body });
                }
                Err(error) => error,
            };
            if Instant::now() >= deadline {
                return Err(error);
            }
            sleep(PAUSE).await;
        }
    }

    /// The topology's bundle at a version, built on the one before; `marker` tells it from others.
    ///
    /// # Errors
    /// When a tool's name can't name a route.
    pub fn marked_bundle(&self, version: u64, marker: u32) -> Result<Bundle, FleetError> {
        let base = BundleVersion(version.saturating_sub(1));
        let made = self.topology().bundle(BundleVersion(version), base);
        let mut bundle = made.map_err(|e| FleetError::Unexpected(e.to_string()))?;
        for service in bundle.services.values_mut() {
            service.queue_per_engine = marker;
        }
        Ok(bundle)
    }
}
