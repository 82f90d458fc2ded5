//! Discovers application engines: reads the platform's list and probes the engines each second. The
//! cores divide the addresses among themselves; the leader collects the results.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::StreamExt;
use hooklug_protocol::control::{ClusterView, MemberHealth, ProbeOutcome, ReportProbes};
use hooklug_types::{Digest, NodeId, NodeRole};
use tokio::time::MissedTickBehavior;
use tracing::warn;

use super::Shared;
use super::platform::{ListSource, ListedEngine};
use super::probe::probe;
use crate::metrics;

/// Time between rounds (design document: each second).
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of concurrent probes.
const MAX_CONCURRENT_PROBES: usize = 128;

/// Timeout for sending a report to the leader.
const REPORT_TIMEOUT: Duration = Duration::from_millis(700);

pub(super) async fn run(shared: &Shared) {
    let Some(text) = &shared.ctx.settings.core.platform_list else {
        return std::future::pending().await;
    };
    let source = ListSource::parse(text);
    let mut listed = Vec::new();
    let mut rounds = tokio::time::interval(ROUND_INTERVAL);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        rounds.tick().await;
        match source.read().await {
            Ok(list) => listed = list,
            Err(error) => {
                metrics::count_platform_list_failure();
                warn!(%error, "cannot read the platform's engine list; the last one stays in use");
            }
        }
        if shared.leadership.epoch().is_some() {
            lead_round(shared, &listed).await;
        } else if let Some(leader) = shared.other_leader() {
            follow_round(shared, &listed, leader).await;
        }
    }
}

/// Probes the leader's share of the addresses, and those without a recent result.
async fn lead_round(shared: &Shared, listed: &[ListedEngine]) {
    let mut addresses = {
        let mut engines = shared.engines();
        engines.set_list(listed.to_vec());
        let own = assigned_share(shared, engines.addresses());
        own.into_iter().chain(engines.overdue(Instant::now())).collect::<BTreeSet<_>>()
    };
    let mut outcomes = probe_all(std::mem::take(&mut addresses));
    while let Some(outcome) = outcomes.next().await {
        shared.engines().record_probe(&outcome, Instant::now());
    }
}

/// Probes the share of a core that does not lead, and reports the results to the leader.
async fn follow_round(shared: &Shared, listed: &[ListedEngine], leader: SocketAddr) {
    let view = shared.published.view();
    let known = view.engines.values().map(|e| e.address);
    let addresses = listed.iter().map(|e| e.address).chain(known).collect();
    let outcomes: Vec<ProbeOutcome> = probe_all(assigned_share(shared, addresses)).collect().await;
    if outcomes.is_empty() {
        return;
    }
    let deadline = tokio::time::Instant::now() + REPORT_TIMEOUT;
    // If the report is lost, the leader probes these addresses itself.
    let _ = shared.ctx.client.call(leader, &ReportProbes { outcomes }, deadline).await;
}

fn probe_all(addresses: BTreeSet<SocketAddr>) -> impl futures::Stream<Item = ProbeOutcome> + Unpin {
    futures::stream::iter(addresses.into_iter().map(probe)).buffer_unordered(MAX_CONCURRENT_PROBES)
}

fn assigned_share(shared: &Shared, addresses: BTreeSet<SocketAddr>) -> BTreeSet<SocketAddr> {
    let own = shared.ctx.identity.address.node;
    let cores = alive_cores(&shared.published.view(), own);
    addresses.into_iter().filter(|address| assigned_core(&cores, *address) == Some(own)).collect()
}

fn alive_cores(view: &ClusterView, own: NodeId) -> BTreeSet<NodeId> {
    let alive = view
        .members
        .values()
        .filter(|m| m.address.role == NodeRole::Core && m.health == MemberHealth::Alive);
    alive.map(|m| m.address.node).chain([own]).collect()
}

/// Returns the core that probes an address, by rendezvous hashing: a core that joins or leaves
/// moves only its own share.
fn assigned_core(cores: &BTreeSet<NodeId>, address: SocketAddr) -> Option<NodeId> {
    cores.iter().copied().max_by_key(|core| Digest::of(format!("{core}/{address}").as_bytes()))
}
