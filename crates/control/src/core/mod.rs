//! The core process: one leader by lease runs the controllers, every core serves the view.
//!
//! Cores remember nothing that matters: what must last is in the meta group, and each write of a
//! controller carries the fencing epoch of the leader.

mod discovery;
pub mod engines;
mod follower;
mod inbox;
mod leader;
pub mod leadership;
pub mod members;
pub mod orders;
pub mod platform;
pub mod probe;
mod published;
pub mod records_told;
pub mod repair;
mod rollout;
pub mod slot_uses;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hooklug_protocol::Request;
use hooklug_protocol::control::{
    Heartbeat, HeartbeatReply, ReportHarm, ReportProbes, ServiceSlotUse, SlotUseFigures,
    VersionFigures, VersionStatistics, WatchView,
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
use published::Published;
use records_told::RecordsTold;
use slot_uses::SlotUses;

/// Longest wait of a core for the core leader, inside the time that a node waits for the core (ours).
const FORWARD_TIME: Duration = Duration::from_millis(700);

/// Time over which the figures for operators are added up (ours).
const FIGURES_INTERVAL: Duration = Duration::from_secs(60);

/// What the tasks of a core share.
#[derive(Debug)]
struct Shared {
    ctx: NodeContext,
    leadership: Leadership,
    published: Published,
    inbox: Inbox,
    judge: Mutex<Judge>,
    engines: Mutex<EngineTable>,
    records_told: Mutex<RecordsTold>,
    slot_uses: Mutex<SlotUses>,
}

impl Shared {
    fn judge(&self) -> MutexGuard<'_, Judge> {
        self.judge.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn engines(&self) -> MutexGuard<'_, EngineTable> {
        self.engines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn slot_uses(&self) -> MutexGuard<'_, SlotUses> {
        self.slot_uses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where the core leader is, when it is another one. A former run of this core is nobody to pass anything on to,
    /// though the stores may name it for some seconds: at its address is this one.
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
    /// A core that does nothing yet.
    #[must_use]
    pub fn new(ctx: NodeContext) -> Self {
        let shared = Shared {
            ctx,
            leadership: Leadership::default(),
            published: Published::default(),
            inbox: Inbox::default(),
            judge: Mutex::default(),
            engines: Mutex::default(),
            records_told: Mutex::default(),
            slot_uses: Mutex::default(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Answers to nodes.
    #[must_use]
    pub fn rpc_router(&self) -> Router {
        let (beating, watching) = (self.shared.clone(), self.shared.clone());
        let (probing, counting) = (self.shared.clone(), self.shared.clone());
        let (reporting, showing) = (self.shared.clone(), self.shared.clone());
        Router::new()
            .route(move |peer, heartbeat: Heartbeat| {
                let shared = beating.clone();
                async move { take_heartbeat(&shared, heartbeat, peer.role).await }
            })
            .stream(move |_peer, _request: WatchView, sink| {
                let shared = watching.clone();
                async move { shared.published.serve(sink).await }
            })
            .route(move |peer, report: ReportHarm| {
                let shared = reporting.clone();
                async move { take_harm(&shared, report, peer.role).await }
            })
            .route_inline(move |_peer, report: ReportProbes| {
                let now = std::time::Instant::now();
                let mut engines = probing.engines();
                report.outcomes.iter().for_each(|outcome| engines.probed(outcome, now));
            })
            .route(move |peer, request: VersionFigures| {
                let shared = showing.clone();
                async move { figures(&shared, request, peer.role).await }
            })
            .route(move |peer, request: SlotUseFigures| {
                let shared = counting.clone();
                async move { slot_uses(&shared, request, peer.role).await }
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

async fn take_heartbeat(shared: &Shared, heartbeat: Heartbeat, from: NodeRole) -> HeartbeatReply {
    shared.ctx.identity.bundles.saw(heartbeat.bundle);
    let leads = shared.leadership.epoch().is_some();
    // A heartbeat that a core forwarded is kept where it is: cores that disagree must not send it round.
    let forwarded = from == NodeRole::Core && heartbeat.from.role != NodeRole::Core;
    if !leads
        && !forwarded
        && let Some(leader) = shared.other_leader()
    {
        let deadline = Instant::now() + FORWARD_TIME;
        if let Ok(mut reply) = shared.ctx.client.call(leader, &heartbeat, deadline).await {
            reply.leader = Some(leader);
            return reply;
        }
    }
    let (node, installed) = (heartbeat.from.node, heartbeat.bundle);
    let now = std::time::Instant::now();
    shared.inbox.put_heartbeat(heartbeat, now);
    let view = shared.published.view();
    let mut told = shared.records_told.lock().unwrap_or_else(PoisonError::into_inner);
    let due = |record: &&BundleRecord| told.is_due(node, installed, record.version, now);
    HeartbeatReply {
        revision: view.revision,
        bundle: view.meta.bundle.as_ref().filter(due).cloned(),
        leader: shared.other_leader().filter(|_| !leads),
    }
}

async fn take_harm(shared: &Shared, report: ReportHarm, from: NodeRole) {
    if ask_leader(shared, &report, from).await != LeaderAnswer::Given(()) {
        shared.inbox.put_harm(report.harm, std::time::Instant::now());
    }
}

async fn figures(
    shared: &Shared,
    request: VersionFigures,
    from: NodeRole,
) -> Vec<VersionStatistics> {
    match ask_leader(shared, &request, from).await {
        LeaderAnswer::Given(figures) => figures,
        LeaderAnswer::Missing => Vec::new(),
        LeaderAnswer::Here => shared.judge().figures(FIGURES_INTERVAL, std::time::Instant::now()),
    }
}

async fn slot_uses(
    shared: &Shared,
    request: SlotUseFigures,
    from: NodeRole,
) -> Vec<ServiceSlotUse> {
    match ask_leader(shared, &request, from).await {
        LeaderAnswer::Given(uses) => uses,
        LeaderAnswer::Missing => Vec::new(),
        LeaderAnswer::Here => shared.slot_uses().sums(),
    }
}

/// What came of passing a question on to the core leader.
#[derive(Debug, PartialEq, Eq)]
enum LeaderAnswer<T> {
    /// The leader's answer.
    Given(T),
    /// The leader did not answer.
    Missing,
    /// There is nobody to pass it on to: this core leads, knows no leader, or was itself asked by a core.
    Here,
}

async fn ask_leader<R: Request>(
    shared: &Shared,
    request: &R,
    from: NodeRole,
) -> LeaderAnswer<R::Reply> {
    let leads = shared.leadership.epoch().is_some();
    let leader = shared.other_leader().filter(|_| !leads && from != NodeRole::Core);
    let Some(leader) = leader else { return LeaderAnswer::Here };
    let deadline = Instant::now() + FORWARD_TIME;
    match shared.ctx.client.call(leader, request, deadline).await {
        Ok(answer) => LeaderAnswer::Given(answer),
        Err(_) => LeaderAnswer::Missing,
    }
}
