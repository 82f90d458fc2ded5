//! The hollow nodes of this process.

use std::time::{Duration, Instant};

use anyhow::{anyhow, bail};
use futures::future::{join_all, try_join_all};
use hooklug_rpc::TrafficCounts;
use hooklug_types::{BundleVersion, NodeRole};
use serde::Serialize;

use super::access::ClusterAccess;
use super::node::{HollowNode, HollowNodeSpec};
use crate::slopes::process_usage::Usage;

/// Number of nodes that start concurrently, limited so that their handshakes don't delay each
/// other.
const MAX_CONCURRENT_STARTS: usize = 50;
/// Pause between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The hollow nodes of this process and their specifications.
#[derive(Debug)]
pub(crate) struct HollowNodes {
    access: ClusterAccess,
    nodes: Vec<(HollowNodeSpec, HollowNode)>,
    /// RPC traffic of nodes that were stopped.
    stopped_traffic: RpcTraffic,
}

/// RPC traffic of all hollow nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub(crate) struct RpcTraffic {
    /// Bytes sent.
    pub(crate) sent_bytes: u64,
    /// Bytes received.
    pub(crate) received_bytes: u64,
    /// Frames sent and received.
    pub(crate) frames: u64,
}

impl RpcTraffic {
    fn add(&mut self, counts: TrafficCounts) {
        self.sent_bytes += counts.sent_bytes;
        self.received_bytes += counts.received_bytes;
        self.frames += counts.sent_frames + counts.received_frames;
    }
}

/// Resource usage of this process and its hollow nodes at one instant.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NodesReading {
    at: Instant,
    usage: Usage,
    traffic: RpcTraffic,
    nodes: usize,
}

/// Average resource usage of one hollow node over a span.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct NodeUsage {
    /// Number of hollow nodes.
    pub(crate) nodes: usize,
    /// Length of the span, in seconds.
    pub(crate) seconds: f64,
    /// Processor time, in percent of one core.
    pub(crate) cpu_percent: f64,
    /// Bytes sent per second, without TCP and IP headers.
    pub(crate) sent_bytes_a_second: f64,
    /// Bytes received per second, without TCP and IP headers.
    pub(crate) received_bytes_a_second: f64,
    /// Frames sent and received per second.
    pub(crate) frames_a_second: f64,
    /// Resident memory of this process divided by the number of nodes, in bytes.
    pub(crate) resident_bytes: f64,
}

impl NodesReading {
    /// Returns the average usage of a node since an earlier reading, divided by the current number
    /// of nodes.
    pub(crate) fn since(&self, earlier: &Self) -> NodeUsage {
        let nodes = self.nodes as f64;
        let seconds = (self.at - earlier.at).as_secs_f64();
        let rate = |now: u64, before: u64| now.saturating_sub(before) as f64 / nodes / seconds;
        let cpu = (self.usage.cpu - earlier.usage.cpu).as_secs_f64();
        NodeUsage {
            nodes: self.nodes,
            seconds,
            cpu_percent: 100.0 * cpu / seconds / nodes,
            sent_bytes_a_second: rate(self.traffic.sent_bytes, earlier.traffic.sent_bytes),
            received_bytes_a_second: rate(
                self.traffic.received_bytes,
                earlier.traffic.received_bytes,
            ),
            frames_a_second: rate(self.traffic.frames, earlier.traffic.frames),
            resident_bytes: self.usage.resident_bytes as f64 / nodes,
        }
    }
}

impl HollowNodes {
    /// Creates an empty set of nodes.
    pub(crate) fn new(access: ClusterAccess) -> Self {
        Self { access, nodes: Vec::new(), stopped_traffic: RpcTraffic::default() }
    }

    /// Starts more nodes: first the gateways, then the engines.
    pub(crate) async fn start_more(
        &mut self,
        gateways: usize,
        engines: usize,
    ) -> anyhow::Result<()> {
        let roles = std::iter::repeat_n(NodeRole::Gateway, gateways)
            .chain(std::iter::repeat_n(NodeRole::Engine, engines));
        let specs: Vec<HollowNodeSpec> = roles
            .enumerate()
            .map(|(n, role)| HollowNodeSpec { index: self.nodes.len() + n, role })
            .collect();
        for chunk in specs.chunks(MAX_CONCURRENT_STARTS) {
            let access = &self.access;
            let started = try_join_all(chunk.iter().map(|spec| HollowNode::start(*spec, access)));
            self.nodes.extend(chunk.iter().copied().zip(started.await?));
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Stops the n-th node without a drain, as a kill does, and starts it again.
    pub(crate) async fn restart(&mut self, index: usize) -> anyhow::Result<()> {
        let count = self.nodes.len();
        let (spec, node) = &mut self.nodes[index % count];
        self.stopped_traffic.add(node.traffic());
        *node = HollowNode::start(*spec, &self.access).await?;
        Ok(())
    }

    /// Toggles the draining state of the n-th node's engine, which changes the view.
    pub(crate) fn toggle_draining(&self, index: usize) {
        self.nodes[index % self.nodes.len()].1.toggle_draining();
    }

    /// Reads the resource usage of this process and its nodes.
    pub(crate) fn read_usage(&self) -> anyhow::Result<NodesReading> {
        let mut traffic = self.stopped_traffic;
        self.nodes.iter().for_each(|(_, node)| traffic.add(node.traffic()));
        let nodes = self.nodes.len();
        Ok(NodesReading { at: Instant::now(), usage: Usage::own()?, traffic, nodes })
    }

    /// Measures the average usage of a node over an idle span.
    pub(crate) async fn measure_idle(&self, span: Duration) -> anyhow::Result<NodeUsage> {
        let before = self.read_usage()?;
        tokio::time::sleep(span).await;
        Ok(self.read_usage()?.since(&before))
    }

    /// Waits until each node sees at least `members` members. Returns the time that it took.
    pub(crate) async fn wait_for_members(
        &self,
        members: usize,
        max_wait: Duration,
    ) -> anyhow::Result<Duration> {
        let start_time = Instant::now();
        loop {
            let min_seen = self.nodes.iter().map(|(_, n)| n.members_seen()).min();
            let min_seen = min_seen.ok_or_else(|| anyhow!("there are no hollow nodes"))?;
            if min_seen >= members {
                return Ok(start_time.elapsed());
            }
            if start_time.elapsed() > max_wait {
                bail!("a node sees {min_seen} of {members} members after {max_wait:?}");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a bundle is active on each node. Returns the sorted times from `since` until
    /// then.
    pub(crate) async fn wait_installed(
        &self,
        version: BundleVersion,
        since: Instant,
        max_wait: Duration,
    ) -> anyhow::Result<Vec<Duration>> {
        let waits = self.nodes.iter().map(|(_, node)| async move {
            node.wait_installed(version).await;
            since.elapsed()
        });
        let mut times = tokio::time::timeout(max_wait, join_all(waits)).await.map_err(|_| {
            anyhow!("bundle {version} is not active on all hollow nodes after {max_wait:?}")
        })?;
        times.sort_unstable();
        Ok(times)
    }
}
