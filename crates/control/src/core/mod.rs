//! The core process: one leader, which holds a lease, runs the controllers; every core serves the
//! cluster view.
//!
//! Cores keep no durable state: what must persist is in the meta group, and each write of a
//! controller carries the leader's fencing epoch.

mod discovery;
pub mod engines;
mod follower;
mod inbox;
mod leader;
pub mod leadership;
pub mod members;
pub mod platform;
pub mod probe;
mod published;
pub mod repair;
mod rollback;
pub mod rollout_plan;
pub mod rollouts;
pub mod sent_records;
pub mod slot_usage;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hooklug_protocol::Request;
use hooklug_protocol::control::{
    FetchSlotUsage, FetchVersionStatistics, Heartbeat, HeartbeatReply, ReportHarm, ReportProbes,
    ServiceSlotUsage, VersionStatistics, WatchView,
};
use hooklug_rpc::Router;
use hooklug_state::meta::BundleRecord;
use hooklug_types::NodeRole;
use tokio::time::Instant;

use crate::NodeContext;
use crate::judge::Judge;
use engines::EngineTable;
use inbox::Inbox;
use leadership::Leadership;
use published::PublishedView;
use sent_records::SentRecords;
use slot_usage::SlotUsageTable;

/// Timeout of a request forwarded to the core leader; must be shorter than the time that a node
/// waits for the core.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(700);

/// Interval over which the statistics for operators are summed.
const STATISTICS_INTERVAL: Duration = Duration::from_secs(60);

/// State shared by the tasks of a core.
#[derive(Debug)]
struct Shared {
    ctx: NodeContext,
    leadership: Leadership,
    published: PublishedView,
    inbox: Inbox,
    judge: Mutex<Judge>,
    engines: Mutex<EngineTable>,
    sent_records: Mutex<SentRecords>,
    slot_usage: Mutex<SlotUsageTable>,
}

impl Shared {
    fn judge(&self) -> MutexGuard<'_, Judge> {
        self.judge.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn engines(&self) -> MutexGuard<'_, EngineTable> {
        self.engines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn slot_usage(&self) -> MutexGuard<'_, SlotUsageTable> {
        self.slot_usage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the address of the core leader if it is another core. A previous run of this core
    /// does not count: the stores may still name it as the leader for some seconds, but its address
    /// now belongs to this run.
    fn other_leader(&self) -> Option<std::net::SocketAddr> {
        let leader = self.leadership.watch_leader().borrow().clone()?;
        let own = &self.ctx.identity.address;
        let is_other = leader.core != own.node && leader.address != own.rpc;
        (!leader.expired && is_other).then_some(leader.address)
    }
}

/// A core process.
#[derive(Debug)]
pub struct Core {
    shared: Arc<Shared>,
}

impl Core {
    /// Creates a core that is not running yet.
    #[must_use]
    pub fn new(ctx: NodeContext) -> Self {
        let shared = Shared {
            ctx,
            leadership: Leadership::default(),
            published: PublishedView::default(),
            inbox: Inbox::default(),
            judge: Mutex::default(),
            engines: Mutex::default(),
            sent_records: Mutex::default(),
            slot_usage: Mutex::default(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Returns the handlers of nodes' requests.
    #[must_use]
    pub fn rpc_router(&self) -> Router {
        let (heartbeat_shared, view_shared) = (self.shared.clone(), self.shared.clone());
        let (probe_shared, usage_shared) = (self.shared.clone(), self.shared.clone());
        let (harm_shared, statistics_shared) = (self.shared.clone(), self.shared.clone());
        Router::new()
            .route(move |peer, heartbeat: Heartbeat| {
                let shared = heartbeat_shared.clone();
                async move { handle_heartbeat(&shared, heartbeat, peer.role).await }
            })
            .route_stream(move |_peer, _request: WatchView, sink| {
                let shared = view_shared.clone();
                async move { shared.published.serve(sink).await }
            })
            .route(move |peer, report: ReportHarm| {
                let shared = harm_shared.clone();
                async move { handle_harm_report(&shared, report, peer.role).await }
            })
            .route_inline(move |_peer, report: ReportProbes| {
                let now = std::time::Instant::now();
                let mut engines = probe_shared.engines();
                report.outcomes.iter().for_each(|outcome| engines.record_probe(outcome, now));
            })
            .route(move |peer, request: FetchVersionStatistics| {
                let shared = statistics_shared.clone();
                async move { version_statistics(&shared, request, peer.role).await }
            })
            .route(move |peer, request: FetchSlotUsage| {
                let shared = usage_shared.clone();
                async move { slot_usage(&shared, request, peer.role).await }
            })
    }

    /// Runs the core until the process is stopped.
    pub async fn run(self) {
        let shared = self.shared;
        let tasks = async {
            tokio::join!(
                shared.leadership.run(&shared.ctx),
                leader::run(&shared),
                follower::run(&shared),
                discovery::run(&shared),
            );
        };
        tokio::select! {
            () = shared.ctx.stop.cancelled() => {}
            () = tasks => {}
        }
    }
}

async fn handle_heartbeat(shared: &Shared, heartbeat: Heartbeat, from: NodeRole) -> HeartbeatReply {
    shared.ctx.identity.bundles.observe(heartbeat.bundle);
    let leads = shared.leadership.epoch().is_some();
    // A heartbeat forwarded by a core is not forwarded again, so that cores that disagree about the
    // leader do not send it in circles.
    let forwarded = from == NodeRole::Core && heartbeat.from.role != NodeRole::Core;
    if !leads
        && !forwarded
        && let Some(leader) = shared.other_leader()
    {
        let deadline = Instant::now() + FORWARD_TIMEOUT;
        if let Ok(mut reply) = shared.ctx.client.call(leader, &heartbeat, deadline).await {
            reply.leader = Some(leader);
            return reply;
        }
    }
    let (node, installed) = (heartbeat.from.node, heartbeat.bundle);
    let now = std::time::Instant::now();
    shared.inbox.push_heartbeat(heartbeat, now);
    let view = shared.published.view();
    let mut sent_records = shared.sent_records.lock().unwrap_or_else(PoisonError::into_inner);
    let due = |record: &&BundleRecord| sent_records.is_due(node, installed, record.version, now);
    HeartbeatReply {
        revision: view.revision,
        bundle: view.meta.bundle.as_ref().filter(due).cloned(),
        leader: shared.other_leader().filter(|_| !leads),
    }
}

async fn handle_harm_report(shared: &Shared, report: ReportHarm, from: NodeRole) {
    if forward_to_leader(shared, &report, from).await != ForwardResult::Reply(()) {
        shared.inbox.push_harm(report.harm, std::time::Instant::now());
    }
}

async fn version_statistics(
    shared: &Shared,
    request: FetchVersionStatistics,
    from: NodeRole,
) -> Vec<VersionStatistics> {
    match forward_to_leader(shared, &request, from).await {
        ForwardResult::Reply(statistics) => statistics,
        ForwardResult::NoReply => Vec::new(),
        ForwardResult::NotForwarded => {
            shared.judge().statistics(STATISTICS_INTERVAL, std::time::Instant::now())
        }
    }
}

async fn slot_usage(
    shared: &Shared,
    request: FetchSlotUsage,
    from: NodeRole,
) -> Vec<ServiceSlotUsage> {
    match forward_to_leader(shared, &request, from).await {
        ForwardResult::Reply(usage) => usage,
        ForwardResult::NoReply => Vec::new(),
        ForwardResult::NotForwarded => shared.slot_usage().sums(),
    }
}

/// Result of forwarding a request to the core leader.
#[derive(Debug, PartialEq, Eq)]
enum ForwardResult<T> {
    /// The leader's reply.
    Reply(T),
    /// The leader did not reply.
    NoReply,
    /// Not forwarded: this core leads, knows no leader, or received the request from a core.
    NotForwarded,
}

async fn forward_to_leader<R: Request>(
    shared: &Shared,
    request: &R,
    from: NodeRole,
) -> ForwardResult<R::Reply> {
    let leads = shared.leadership.epoch().is_some();
    let leader = shared.other_leader().filter(|_| !leads && from != NodeRole::Core);
    let Some(leader) = leader else { return ForwardResult::NotForwarded };
    let deadline = Instant::now() + FORWARD_TIMEOUT;
    match shared.ctx.client.call(leader, request, deadline).await {
        Ok(reply) => ForwardResult::Reply(reply),
        Err(_) => ForwardResult::NoReply,
    }
}
