//! Measures the resource usage of a fleet's processes, summed by role.

use std::collections::BTreeMap;
use std::time::Instant;

use futures::future::try_join_all;
use hooklug_fleet::http::{HttpClient, HttpRequest};
use hooklug_fleet::{Fleet, ProcessStatus};
use http::Method;
use serde::Serialize;

use super::process_usage::Usage;

/// Resource usage, summed over all processes of a role.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub(crate) struct ResourceUsage {
    /// Number of processes that were measured.
    pub(crate) processes: usize,
    /// Processor time, in seconds.
    pub(crate) cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub(crate) resident_bytes: f64,
    /// Bytes sent by RPC.
    pub(crate) rpc_sent_bytes: f64,
    /// Bytes received by RPC.
    pub(crate) rpc_received_bytes: f64,
    /// Frames sent and received by RPC.
    pub(crate) rpc_frames: f64,
    /// Bytes written to the log.
    pub(crate) log_bytes: f64,
    /// Number of syncs of the log.
    pub(crate) syncs: f64,
}

impl ResourceUsage {
    fn plus(self, other: Self) -> Self {
        Self {
            processes: self.processes + other.processes,
            cpu_seconds: self.cpu_seconds + other.cpu_seconds,
            resident_bytes: self.resident_bytes + other.resident_bytes,
            rpc_sent_bytes: self.rpc_sent_bytes + other.rpc_sent_bytes,
            rpc_received_bytes: self.rpc_received_bytes + other.rpc_received_bytes,
            rpc_frames: self.rpc_frames + other.rpc_frames,
            log_bytes: self.log_bytes + other.log_bytes,
            syncs: self.syncs + other.syncs,
        }
    }

    fn since(self, earlier: Self) -> Self {
        Self {
            processes: self.processes,
            cpu_seconds: self.cpu_seconds - earlier.cpu_seconds,
            resident_bytes: self.resident_bytes - earlier.resident_bytes,
            rpc_sent_bytes: self.rpc_sent_bytes - earlier.rpc_sent_bytes,
            rpc_received_bytes: self.rpc_received_bytes - earlier.rpc_received_bytes,
            rpc_frames: self.rpc_frames - earlier.rpc_frames,
            log_bytes: self.log_bytes - earlier.log_bytes,
            syncs: self.syncs - earlier.syncs,
        }
    }
}

/// Resource usage of a fleet at one instant.
#[derive(Debug, Clone)]
pub(crate) struct UsageReading {
    at: Instant,
    /// Usage by role.
    pub(crate) roles: BTreeMap<&'static str, ResourceUsage>,
}

/// Resource usage over a span.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct UsageSpan {
    /// Length of the span, in seconds.
    pub(crate) seconds: f64,
    /// Usage by role.
    pub(crate) roles: BTreeMap<&'static str, ResourceUsage>,
}

impl UsageReading {
    /// Reads the usage of all running hooklug processes of a fleet concurrently.
    pub(crate) async fn read(fleet: &Fleet, http: &HttpClient) -> anyhow::Result<Self> {
        let nodes = fleet.status().into_iter().filter(|status| status.name.kind.is_node());
        let readings = nodes.filter(|status| status.pid.is_some()).map(|status| async move {
            let usage = read_process(http, &status).await?;
            anyhow::Ok((status.name.kind.as_str(), usage))
        });
        let mut roles: BTreeMap<&'static str, ResourceUsage> = BTreeMap::new();
        for (role, usage) in try_join_all(readings).await? {
            let sum = roles.entry(role).or_default();
            *sum = sum.plus(usage);
        }
        Ok(Self { at: Instant::now(), roles })
    }

    /// Returns the usage since an earlier reading.
    pub(crate) fn since(&self, earlier: &Self) -> UsageSpan {
        let before = |role: &str| earlier.roles.get(role).copied().unwrap_or_default();
        let roles = self.roles.iter().map(|(role, now)| (*role, now.since(before(role))));
        UsageSpan { seconds: (self.at - earlier.at).as_secs_f64(), roles: roles.collect() }
    }
}

impl UsageSpan {
    /// Returns the usage of a role.
    pub(crate) fn role(&self, role: &str) -> ResourceUsage {
        self.roles.get(role).copied().unwrap_or_default()
    }
}

async fn read_process(http: &HttpClient, status: &ProcessStatus) -> anyhow::Result<ResourceUsage> {
    let metrics = http.send(status.http, &HttpRequest::new(Method::GET, "/metrics")).await?;
    let usage = Usage::of(status.pid.unwrap_or_default())?;
    let metrics = String::from_utf8_lossy(&metrics.body).into_owned();
    let sum = |name: &str| sum_series(&metrics, name);
    Ok(ResourceUsage {
        processes: 1,
        cpu_seconds: usage.cpu.as_secs_f64(),
        resident_bytes: usage.resident_bytes as f64,
        rpc_sent_bytes: sum("hooklug_rpc_bytes_total{direction=\"sent\"}"),
        rpc_received_bytes: sum("hooklug_rpc_bytes_total{direction=\"received\"}"),
        rpc_frames: sum("hooklug_rpc_frames_total"),
        log_bytes: sum("hooklug_wal_bytes_total"),
        syncs: sum("hooklug_wal_syncs_total"),
    })
}

/// Returns the sum of all series that start with `name`, which may include the first labels.
fn sum_series(metrics: &str, name: &str) -> f64 {
    let matching = metrics.lines().filter(|line| line.starts_with(name));
    matching.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}
