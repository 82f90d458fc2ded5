//! Waits for conditions of a fleet with a timeout, and submits bundles.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use hooklug_bundle::Bundle;
use hooklug_types::BundleVersion;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::http::{Answer, HttpError, HttpRequest};
use crate::{Fleet, FleetError, ProcessKind, ProcessName};

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a request that checks a condition.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a submission.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(8);

/// Request body of a submission.
#[derive(Debug, Serialize)]
struct Submission<'a> {
    bundle: &'a Bundle,
}

/// Response to a submission.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Submitted {
    /// The bundle as committed.
    pub bundle: CommittedBundle,
    /// Number of live nodes.
    pub live_nodes: usize,
    /// Number of live nodes that have installed the bundle.
    pub installed_nodes: usize,
}

/// Version and digest of a committed bundle.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct CommittedBundle {
    /// Version of the bundle.
    pub version: BundleVersion,
    /// Digest in hexadecimal.
    pub digest: String,
}

#[derive(Debug, Deserialize)]
struct Readiness {
    ready: bool,
    reasons: BTreeMap<String, String>,
}

#[derive(Debug, Deserialize)]
struct EngineView {
    engine: String,
    ready: bool,
}

#[derive(Debug, Deserialize)]
struct MemberView {
    http: SocketAddr,
    core_leader: bool,
}

impl Fleet {
    /// Polls a condition until it holds. Fails early when a process exits unexpectedly.
    ///
    /// # Errors
    /// `TimedOut` with the last error of the condition.
    pub async fn wait_until<F, Fut>(
        &self,
        what: &str,
        time: Duration,
        mut check: F,
    ) -> Result<(), FleetError>
    where
        F: FnMut() -> Fut,
        Fut: Future<Output = Result<(), String>>,
    {
        let deadline = Instant::now() + time;
        loop {
            let Err(last) = check().await else { return Ok(()) };
            if let Some(error) = self.unexpected_exit() {
                return Err(error);
            }
            if Instant::now() >= deadline {
                let seconds = time.as_secs();
                return Err(FleetError::TimedOut { what: what.to_owned(), seconds, last });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    pub(crate) async fn wait_alive(&self, time: Duration) -> Result<(), FleetError> {
        for name in self.all_names() {
            self.wait_responding(name, time).await?;
        }
        Ok(())
    }

    /// Waits until a process responds to an HTTP request.
    ///
    /// # Errors
    /// When it does not respond in time.
    pub async fn wait_responding(
        &self,
        name: ProcessName,
        time: Duration,
    ) -> Result<(), FleetError> {
        let path = match name.kind {
            ProcessKind::Model | ProcessKind::App => "/identity",
            ProcessKind::Platform => "/engines",
            _ => "/healthz",
        };
        let what = format!("{name} responds");
        self.wait_until(&what, time, || async move {
            let response = self.get(name, path).await?;
            if response.status.is_success() { Ok(()) } else { Err(response.status.to_string()) }
        })
        .await
    }

    /// Waits until a node reports that it is ready.
    ///
    /// # Errors
    /// When it is not ready in time.
    pub async fn wait_ready(&self, name: ProcessName, time: Duration) -> Result<(), FleetError> {
        let what = format!("{name} is ready");
        self.wait_until(&what, time, || self.check_ready(name)).await
    }

    /// Waits until every running node reports that it is ready.
    ///
    /// # Errors
    /// When a node is not ready in time.
    pub async fn wait_all_ready(&self, time: Duration) -> Result<(), FleetError> {
        for name in self.all_names().into_iter().filter(|name| name.kind.is_node()) {
            if self.is_running(name)? {
                self.wait_ready(name, time).await?;
            }
        }
        Ok(())
    }

    /// Waits until all nodes are ready and every gateway lists all engines as ready.
    pub(crate) async fn wait_serving(&self, time: Duration) -> Result<(), FleetError> {
        self.wait_all_ready(time).await?;
        for name in self.names(ProcessKind::Gateway) {
            let what = format!("{name} lists all engines as ready");
            self.wait_until(&what, time, || self.check_engines_listed(name)).await?;
        }
        Ok(())
    }

    async fn check_ready(&self, name: ProcessName) -> Result<(), String> {
        let response = self.get(name, "/readyz").await?;
        let ready: Readiness = serde_json::from_slice(&response.body).map_err(|e| e.to_string())?;
        if ready.ready { Ok(()) } else { Err(format!("{:?}", ready.reasons)) }
    }

    async fn check_engines_listed(&self, gateway: ProcessName) -> Result<(), String> {
        let response = self.get(gateway, "/admin/v1/engines").await?;
        let engines: Vec<EngineView> = response.json().map_err(|e| e.to_string())?;
        let missing = [ProcessKind::Engine, ProcessKind::App]
            .into_iter()
            .flat_map(|kind| self.names(kind))
            .find(|name| !engines.iter().any(|e| e.ready && e.engine == name.id()));
        missing.map_or(Ok(()), |name| Err(format!("{name} is missing or not ready")))
    }

    async fn get(&self, name: ProcessName, path: &str) -> Result<Answer, String> {
        let address = self.http_address(name).map_err(|e| e.to_string())?;
        let request = HttpRequest::new(Method::GET, path);
        self.http
            .send_with_timeout(address, &request, CHECK_TIMEOUT)
            .await
            .map_err(|e| e.to_string())
    }

    pub(crate) async fn submit_first_bundle(&self, time: Duration) -> Result<(), FleetError> {
        let result = self.config.topology.bundle(BundleVersion(1), BundleVersion(0));
        let bundle = result.map_err(|e| FleetError::Unexpected(e.to_string()))?;
        self.wait_until("the first bundle is committed", time, || async {
            self.submit_bundle(&bundle).await.map(drop).map_err(|e| e.to_string())
        })
        .await
    }

    /// Submits a bundle at one running node after another until one responds other than 503.
    ///
    /// # Errors
    /// The error of the last node, when none accepted the bundle.
    pub async fn submit_bundle(&self, bundle: &Bundle) -> Result<Submitted, FleetError> {
        let mut last = FleetError::Unexpected("no node is running".to_owned());
        for name in self.all_names().into_iter().filter(|name| name.kind.is_node()) {
            if !self.is_running(name)? {
                continue;
            }
            match self.submit_bundle_at(name, bundle).await {
                Ok(submitted) => return Ok(submitted),
                Err(FleetError::Http(HttpError::Status { to, status, body })) => {
                    let is_retryable = status == StatusCode::SERVICE_UNAVAILABLE.as_u16();
                    last = HttpError::Status { to, status, body }.into();
                    if !is_retryable {
                        return Err(last);
                    }
                }
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Submits a bundle at one node.
    ///
    /// # Errors
    /// When the node does not respond or rejects the bundle.
    pub async fn submit_bundle_at(
        &self,
        name: ProcessName,
        bundle: &Bundle,
    ) -> Result<Submitted, FleetError> {
        let request = HttpRequest::json(Method::POST, "/admin/v1/bundles", &Submission { bundle });
        let response =
            self.http.send_with_timeout(self.http_address(name)?, &request, SUBMIT_TIMEOUT).await?;
        Ok(response.json()?)
    }

    /// The core leader, according to the view of the first node that shows one.
    ///
    /// # Errors
    /// When no node responds, or none shows a leader.
    pub async fn core_leader(&self) -> Result<ProcessName, FleetError> {
        for name in self.all_names().into_iter().filter(|name| name.kind.is_node()) {
            let Ok(response) = self.get(name, "/admin/v1/members").await else { continue };
            let Ok(members) = response.json::<Vec<MemberView>>() else { continue };
            let leader = members.iter().find(|member| member.core_leader);
            if let Some(leader_name) = leader.and_then(|member| self.process_at(member.http)) {
                return Ok(leader_name);
            }
        }
        Err(FleetError::Unexpected("no node shows a core leader".to_owned()))
    }

    fn process_at(&self, http: SocketAddr) -> Option<ProcessName> {
        let state = self.state();
        state.processes.values().find(|m| m.plan.http() == http).map(|m| m.plan.name)
    }
}
