//! Waiting for conditions, never for a span of time alone.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use hooklug_bundle::Bundle;
use hooklug_types::BundleVersion;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::http::{Answer, Ask, HttpError};
use crate::{Fleet, FleetError, ProcessKind, ProcessName};

/// Pause between two looks.
const POLL: Duration = Duration::from_millis(50);
/// Longest wait for one look.
const LOOK_TIME: Duration = Duration::from_secs(2);
/// Longest wait for a submission's answer.
const SUBMIT_TIME: Duration = Duration::from_secs(8);

/// What an operator sends.
#[derive(Debug, Serialize)]
struct Submission<'a> {
    bundle: &'a Bundle,
}

/// Answer to a submission.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Submitted {
    /// The bundle as committed.
    pub bundle: CommittedBundle,
    /// Nodes that live.
    pub live_nodes: usize,
    /// How many of them have it in force.
    pub installed_nodes: usize,
}

/// A committed bundle.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct CommittedBundle {
    /// Its version.
    pub version: BundleVersion,
    /// Its digest, in hexadecimal.
    pub digest: String,
}

#[derive(Debug, Deserialize)]
struct Ready {
    ready: bool,
    reasons: BTreeMap<String, String>,
}

#[derive(Debug, Deserialize)]
struct SeenEngine {
    engine: String,
    ready: bool,
}

#[derive(Debug, Deserialize)]
struct SeenMember {
    http: SocketAddr,
    core_leader: bool,
}

impl Fleet {
    /// Looks again and again until a condition holds; fails early when a process ends by itself.
    ///
    /// # Errors
    /// `TimedOut` with what was seen last.
    pub async fn wait_until<F, Fut>(
        &self,
        what: &str,
        time: Duration,
        mut look: F,
    ) -> Result<(), FleetError>
    where
        F: FnMut() -> Fut,
        Fut: Future<Output = Result<(), String>>,
    {
        let deadline = Instant::now() + time;
        loop {
            let Err(last) = look().await else { return Ok(()) };
            if let Some(error) = self.ended_by_itself() {
                return Err(error);
            }
            if Instant::now() >= deadline {
                let seconds = time.as_secs();
                return Err(FleetError::TimedOut { what: what.to_owned(), seconds, last });
            }
            tokio::time::sleep(POLL).await;
        }
    }

    pub(crate) async fn wait_alive(&self, time: Duration) -> Result<(), FleetError> {
        for name in self.all_names() {
            self.wait_answers(name, time).await?;
        }
        Ok(())
    }

    /// Waits until a process answers HTTP at all.
    ///
    /// # Errors
    /// When it does not in time.
    pub async fn wait_answers(&self, name: ProcessName, time: Duration) -> Result<(), FleetError> {
        let path = match name.kind {
            ProcessKind::Model | ProcessKind::App => "/identity",
            ProcessKind::Platform => "/engines",
            _ => "/healthz",
        };
        let what = format!("{name} answers");
        self.wait_until(&what, time, || async move {
            let answer = self.look(name, path).await?;
            if answer.status.is_success() { Ok(()) } else { Err(answer.status.to_string()) }
        })
        .await
    }

    /// Waits until a node says that it is ready.
    ///
    /// # Errors
    /// When it does not in time.
    pub async fn wait_ready(&self, name: ProcessName, time: Duration) -> Result<(), FleetError> {
        let what = format!("{name} is ready");
        self.wait_until(&what, time, || self.readiness(name)).await
    }

    /// Waits until every running node says that it is ready.
    ///
    /// # Errors
    /// When one does not in time.
    pub async fn wait_all_ready(&self, time: Duration) -> Result<(), FleetError> {
        for name in self.all_names().into_iter().filter(|name| name.kind.is_node()) {
            if self.is_running(name)? {
                self.wait_ready(name, time).await?;
            }
        }
        Ok(())
    }

    /// Waits until all nodes are ready and every gateway sees all engines.
    pub(crate) async fn wait_serving(&self, time: Duration) -> Result<(), FleetError> {
        self.wait_all_ready(time).await?;
        for name in self.names(ProcessKind::Gateway) {
            let what = format!("{name} sees all engines");
            self.wait_until(&what, time, || self.sees_all_engines(name)).await?;
        }
        Ok(())
    }

    async fn readiness(&self, name: ProcessName) -> Result<(), String> {
        let answer = self.look(name, "/readyz").await?;
        let ready: Ready = serde_json::from_slice(&answer.body).map_err(|e| e.to_string())?;
        if ready.ready { Ok(()) } else { Err(format!("{:?}", ready.reasons)) }
    }

    async fn sees_all_engines(&self, gateway: ProcessName) -> Result<(), String> {
        let answer = self.look(gateway, "/admin/v1/engines").await?;
        let seen: Vec<SeenEngine> = answer.json().map_err(|e| e.to_string())?;
        let missing = [ProcessKind::Engine, ProcessKind::App]
            .into_iter()
            .flat_map(|kind| self.names(kind))
            .find(|name| !seen.iter().any(|e| e.ready && e.engine == name.word()));
        missing.map_or(Ok(()), |name| Err(format!("{name} is missing or not ready")))
    }

    async fn look(&self, name: ProcessName, path: &str) -> Result<Answer, String> {
        let address = self.http_address(name).map_err(|e| e.to_string())?;
        let ask = Ask::new(Method::GET, path);
        self.http.ask_within(address, &ask, LOOK_TIME).await.map_err(|e| e.to_string())
    }

    pub(crate) async fn submit_first_bundle(&self, time: Duration) -> Result<(), FleetError> {
        let made = self.common.topology.bundle(BundleVersion(1), BundleVersion(0));
        let bundle = made.map_err(|e| FleetError::Unexpected(e.to_string()))?;
        self.wait_until("the first bundle is committed", time, || async {
            self.submit_bundle(&bundle).await.map(drop).map_err(|e| e.to_string())
        })
        .await
    }

    /// Submits a bundle at the first node that answers other than "try again".
    ///
    /// # Errors
    /// The last node's answer, when none took it.
    pub async fn submit_bundle(&self, bundle: &Bundle) -> Result<Submitted, FleetError> {
        let mut last = FleetError::Unexpected("no node runs".to_owned());
        for name in self.all_names().into_iter().filter(|name| name.kind.is_node()) {
            if !self.is_running(name)? {
                continue;
            }
            match self.submit_bundle_at(name, bundle).await {
                Ok(submitted) => return Ok(submitted),
                Err(FleetError::Http(HttpError::Status { to, status, body })) => {
                    let again = status == StatusCode::SERVICE_UNAVAILABLE.as_u16();
                    last = HttpError::Status { to, status, body }.into();
                    if !again {
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
    /// When there is no answer, or a refusal.
    pub async fn submit_bundle_at(
        &self,
        name: ProcessName,
        bundle: &Bundle,
    ) -> Result<Submitted, FleetError> {
        let ask = Ask::json(Method::POST, "/admin/v1/bundles", &Submission { bundle });
        let answer = self.http.ask_within(self.http_address(name)?, &ask, SUBMIT_TIME).await?;
        Ok(answer.json()?)
    }

    /// The core that leads, as a running node's view shows it.
    ///
    /// # Errors
    /// When no node answers, or none shows a leader.
    pub async fn core_leader(&self) -> Result<ProcessName, FleetError> {
        for name in self.all_names().into_iter().filter(|name| name.kind.is_node()) {
            let Ok(answer) = self.look(name, "/admin/v1/members").await else { continue };
            let Ok(members) = answer.json::<Vec<SeenMember>>() else { continue };
            let leader = members.iter().find(|member| member.core_leader);
            if let Some(found) = leader.and_then(|member| self.name_at(member.http)) {
                return Ok(found);
            }
        }
        Err(FleetError::Unexpected("no node shows a core leader".to_owned()))
    }

    fn name_at(&self, http: SocketAddr) -> Option<ProcessName> {
        let inner = self.inner();
        inner.members.values().find(|m| m.plan.http() == http).map(|m| m.plan.name)
    }
}
