//! All hollow nodes of this process.

use std::time::{Duration, Instant};

use anyhow::{anyhow, bail};
use futures::future::{join_all, try_join_all};
use hooklug_rpc::TrafficCounts;
use hooklug_types::{BundleVersion, NodeRole};
use serde::Serialize;

use super::access::Access;
use super::node::{HollowNode, HollowPlace};
use crate::slopes::process::Usage;

/// Nodes started at once, so that their hellos don't wait for each other.
const STARTED_AT_ONCE: usize = 50;
/// Pause between two looks while waiting.
const POLL: Duration = Duration::from_millis(100);

/// Hollow nodes with their places.
#[derive(Debug)]
pub(crate) struct Crowd {
    access: Access,
    nodes: Vec<(HollowPlace, HollowNode)>,
    /// Traffic of nodes that were ended.
    gone: Totals,
}

/// Sums over all hollow nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub(crate) struct Totals {
    /// Bytes sent by rpc.
    pub(crate) sent_bytes: u64,
    /// Bytes received by rpc.
    pub(crate) received_bytes: u64,
    /// Frames sent and received by rpc.
    pub(crate) frames: u64,
}

impl Totals {
    fn add(&mut self, counts: TrafficCounts) {
        self.sent_bytes += counts.sent_bytes;
        self.received_bytes += counts.received_bytes;
        self.frames += counts.sent_frames + counts.received_frames;
    }
}

/// One look at this process and its hollow nodes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CrowdLook {
    at: Instant,
    usage: Usage,
    totals: Totals,
    nodes: usize,
}

/// What one hollow node used on average between two looks.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct PerNode {
    /// Hollow nodes.
    pub(crate) nodes: usize,
    /// Length of the span, in seconds.
    pub(crate) seconds: f64,
    /// Share of a core, in percent.
    pub(crate) cpu_percent: f64,
    /// Bytes a second sent, without the headers of TCP and IP.
    pub(crate) sent_bytes_a_second: f64,
    /// Bytes a second received, without the headers of TCP and IP.
    pub(crate) received_bytes_a_second: f64,
    /// Frames a second, both ways.
    pub(crate) frames_a_second: f64,
    /// Resident memory of this process by its nodes, in bytes.
    pub(crate) resident_bytes: f64,
}

impl CrowdLook {
    /// What each node used since an earlier look; nodes counted as they are now.
    pub(crate) fn since(&self, earlier: &Self) -> PerNode {
        let nodes = self.nodes as f64;
        let seconds = (self.at - earlier.at).as_secs_f64();
        let rate = |now: u64, before: u64| now.saturating_sub(before) as f64 / nodes / seconds;
        let cpu = (self.usage.cpu - earlier.usage.cpu).as_secs_f64();
        PerNode {
            nodes: self.nodes,
            seconds,
            cpu_percent: 100.0 * cpu / seconds / nodes,
            sent_bytes_a_second: rate(self.totals.sent_bytes, earlier.totals.sent_bytes),
            received_bytes_a_second: rate(
                self.totals.received_bytes,
                earlier.totals.received_bytes,
            ),
            frames_a_second: rate(self.totals.frames, earlier.totals.frames),
            resident_bytes: self.usage.resident_bytes as f64 / nodes,
        }
    }
}

impl Crowd {
    /// Nobody yet.
    pub(crate) fn new(access: Access) -> Self {
        Self { access, nodes: Vec::new(), gone: Totals::default() }
    }

    /// Starts more nodes: so many gateways, then so many engines.
    pub(crate) async fn grow(&mut self, gateways: usize, engines: usize) -> anyhow::Result<()> {
        let roles = std::iter::repeat_n(NodeRole::Gateway, gateways)
            .chain(std::iter::repeat_n(NodeRole::Engine, engines));
        let places: Vec<HollowPlace> = roles
            .enumerate()
            .map(|(n, role)| HollowPlace { index: self.nodes.len() + n, role })
            .collect();
        for some in places.chunks(STARTED_AT_ONCE) {
            let access = &self.access;
            let started = try_join_all(some.iter().map(|place| HollowNode::start(*place, access)));
            self.nodes.extend(some.iter().copied().zip(started.await?));
            tokio::time::sleep(POLL).await;
        }
        Ok(())
    }

    /// Ends the n-th node as a kill does and starts it anew.
    pub(crate) async fn restart(&mut self, index: usize) -> anyhow::Result<()> {
        let count = self.nodes.len();
        let (place, node) = &mut self.nodes[index % count];
        self.gone.add(node.traffic());
        *node = HollowNode::start(*place, &self.access).await?;
        Ok(())
    }

    /// Changes the n-th node's engine, so that the view changes.
    pub(crate) fn turn_draining(&self, index: usize) {
        self.nodes[index % self.nodes.len()].1.turn_draining();
    }

    /// Looks at this process and its nodes.
    pub(crate) fn look(&self) -> anyhow::Result<CrowdLook> {
        let mut totals = self.gone;
        self.nodes.iter().for_each(|(_, node)| totals.add(node.traffic()));
        let nodes = self.nodes.len();
        Ok(CrowdLook { at: Instant::now(), usage: Usage::own()?, totals, nodes })
    }

    /// Measures a span in which nothing is done to the nodes.
    pub(crate) async fn watch(&self, span: Duration) -> anyhow::Result<PerNode> {
        let before = self.look()?;
        tokio::time::sleep(span).await;
        Ok(self.look()?.since(&before))
    }

    /// Waits until each node sees so many members; tells how long it took.
    pub(crate) async fn see_all(&self, members: usize, most: Duration) -> anyhow::Result<Duration> {
        let began = Instant::now();
        loop {
            let least = self.nodes.iter().map(|(_, n)| n.members_seen()).min();
            let least = least.ok_or_else(|| anyhow!("no hollow nodes"))?;
            if least >= members {
                return Ok(began.elapsed());
            }
            if began.elapsed() > most {
                bail!("a node sees {least} of {members} members after {most:?}");
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Waits until a bundle is in force at each node; tells how long each waited from `since`, sorted.
    pub(crate) async fn installed(
        &self,
        version: BundleVersion,
        since: Instant,
        most: Duration,
    ) -> anyhow::Result<Vec<Duration>> {
        let waits = self.nodes.iter().map(|(_, node)| async move {
            node.installed(version).await;
            since.elapsed()
        });
        let mut times = tokio::time::timeout(most, join_all(waits))
            .await
            .map_err(|_| anyhow!("bundle {version} is not in force everywhere after {most:?}"))?;
        times.sort_unstable();
        Ok(times)
    }
}
