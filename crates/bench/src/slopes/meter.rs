//! What the processes of a fleet used between two looks, summed by role.

use std::collections::BTreeMap;
use std::time::Instant;

use hooklug_fleet::Fleet;
use hooklug_fleet::http::{Ask, HttpClient};
use http::Method;
use serde::Serialize;

use super::process::Usage;

/// Sums over all processes of a role, or over this process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub(crate) struct Counted {
    /// Processes that were looked at.
    pub(crate) processes: usize,
    /// Processor time, in seconds.
    pub(crate) cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub(crate) resident_bytes: f64,
    /// Bytes sent by rpc.
    pub(crate) rpc_sent_bytes: f64,
    /// Bytes received by rpc.
    pub(crate) rpc_received_bytes: f64,
    /// Frames sent and received by rpc.
    pub(crate) rpc_frames: f64,
    /// Bytes written to the log.
    pub(crate) log_bytes: f64,
    /// Syncs of the log.
    pub(crate) syncs: f64,
}

impl Counted {
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

/// One look at a fleet.
#[derive(Debug, Clone)]
pub(crate) struct Look {
    at: Instant,
    /// By role.
    pub(crate) roles: BTreeMap<&'static str, Counted>,
}

/// What happened between two looks.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Span {
    /// Its length, in seconds.
    pub(crate) seconds: f64,
    /// By role.
    pub(crate) roles: BTreeMap<&'static str, Counted>,
}

impl Look {
    /// Looks at all hooklug processes of a fleet that run.
    pub(crate) async fn at(fleet: &Fleet, http: &HttpClient) -> anyhow::Result<Self> {
        let mut roles: BTreeMap<&'static str, Counted> = BTreeMap::new();
        for status in fleet.status() {
            let Some(pid) = status.pid.filter(|_| status.name.kind.is_node()) else { continue };
            let usage = Usage::of(pid)?;
            let metrics = http.ask(status.http, &Ask::new(Method::GET, "/metrics")).await?;
            let metrics = String::from_utf8_lossy(&metrics.body).into_owned();
            let sum = |name: &str| sum_of(&metrics, name);
            let counted = roles.entry(status.name.kind.word()).or_default();
            counted.processes += 1;
            counted.cpu_seconds += usage.cpu.as_secs_f64();
            counted.resident_bytes += usage.resident_bytes as f64;
            counted.rpc_sent_bytes += sum("hooklug_rpc_bytes_total{direction=\"sent\"}");
            counted.rpc_received_bytes += sum("hooklug_rpc_bytes_total{direction=\"received\"}");
            counted.rpc_frames += sum("hooklug_rpc_frames_total");
            counted.log_bytes += sum("hooklug_wal_bytes_total");
            counted.syncs += sum("hooklug_wal_syncs_total");
        }
        Ok(Self { at: Instant::now(), roles })
    }

    /// What happened since an earlier look.
    pub(crate) fn since(&self, earlier: &Self) -> Span {
        let before = |role: &str| earlier.roles.get(role).copied().unwrap_or_default();
        let roles = self.roles.iter().map(|(role, now)| (*role, now.since(before(role))));
        Span { seconds: (self.at - earlier.at).as_secs_f64(), roles: roles.collect() }
    }
}

impl Span {
    /// A role's figures.
    pub(crate) fn role(&self, role: &str) -> Counted {
        self.roles.get(role).copied().unwrap_or_default()
    }
}

/// Sum of all series whose text begins with a name.
fn sum_of(metrics: &str, name: &str) -> f64 {
    let matching = metrics.lines().filter(|line| line.starts_with(name));
    matching.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}
