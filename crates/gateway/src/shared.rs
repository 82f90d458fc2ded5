//! State shared by all requests of one gateway.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use hooklug_control::NodeContext;
use hooklug_types::ProgramId;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::api::auth::Caller;
use crate::api::problem::{Code, Problem};
use crate::api::refusals::RETRY_STORE;
use crate::backend::pool::Pool;
use crate::backend::table::Backends;
use crate::calls::Calls;
use crate::calls::repeat_history::RepeatHistory;
use crate::calls::retry_budget::RetryBudget;
use crate::limits::tenants::TenantLimiter;
use crate::programs::{ProgramCache, ProgramInfo};
use crate::sessions::engines::EngineClient;
use crate::sessions::owners::Owners;
use crate::shards::Shards;
use crate::version_monitor::VersionMonitor;
use crate::versions::StoppedVersions;

/// Timeout of one shard query or command; covers a leader election with a margin.
const SHARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of one message to a session's owner; covers the lease time with its margin, a leader
/// election and one takeover attempt.
const OWNER_TIMEOUT: Duration = Duration::from_secs(10);

/// Components of one gateway.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) ctx: NodeContext,
    pub(crate) shards: Shards,
    pub(crate) owners: Arc<Owners>,
    pub(crate) backends: Arc<Backends>,
    pub(crate) calls: Arc<Calls>,
    pub(crate) version_monitor: VersionMonitor,
    pub(crate) programs: ProgramCache,
    pub(crate) tenants: TenantLimiter,
    /// Running requests and tasks; shutdown waits for them.
    pub(crate) running: TaskTracker,
    /// Aborts the streams that remain near the end of the grace period.
    pub(crate) abort_streams: CancellationToken,
}

impl Shared {
    pub(crate) fn new(ctx: NodeContext) -> Self {
        let shards = Shards::new(ctx.state.clone());
        let stopped = StoppedVersions::default();
        let zone = ctx.settings.zone.clone();
        let engines = Arc::new(EngineClient::new(ctx.client.clone(), ctx.node.clone()));
        let owners = Arc::new(Owners::new(
            shards.clone(),
            engines,
            ctx.node.clone(),
            zone.clone(),
            stopped.clone(),
        ));
        let pool = Pool::new(ctx.identity.address.rpc.ip(), ctx.identity.faults.clone());
        let backends = Arc::new(Backends::new(pool, ctx.node.clone(), zone, stopped.clone()));
        let version_monitor =
            VersionMonitor::new(ctx.node.statistics.clone(), stopped, ctx.node.harm.clone());
        let running = TaskTracker::new();
        let calls = Arc::new(Calls {
            backends: backends.clone(),
            shards: shards.clone(),
            version_monitor: version_monitor.clone(),
            node: ctx.node.clone(),
            retries: RetryBudget::new(ctx.settings.gateway.retry_share),
            mode: ctx.settings.gateway.mode,
            history: RepeatHistory::default(),
            running: running.clone(),
        });
        Self {
            ctx,
            shards,
            owners,
            backends,
            calls,
            version_monitor,
            programs: ProgramCache::default(),
            tenants: TenantLimiter::default(),
            running,
            abort_streams: CancellationToken::new(),
        }
    }

    /// Deadline of a shard query or command that starts now.
    pub(crate) fn shard_deadline() -> Instant {
        Instant::now() + SHARD_TIMEOUT
    }

    /// Deadline of a message to a session's owner that starts now.
    pub(crate) fn session_deadline() -> Instant {
        Instant::now() + OWNER_TIMEOUT
    }

    /// Maximum request body size, in bytes.
    pub(crate) fn body_limit(&self) -> usize {
        self.ctx.settings.gateway.body_bytes
    }

    /// Spawns a task that shutdown waits for.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.running.spawn(task);
    }

    /// Returns the program's attributes if the caller's tenant owns it. For any other tenant the
    /// program does not exist.
    pub(crate) async fn own_program(
        &self,
        caller: &Caller,
        program: &ProgramId,
    ) -> Result<ProgramInfo, Problem> {
        let info = match self.programs.get(program) {
            Some(info) => Some(info),
            None => {
                let read = self.shards.program(program, Self::shard_deadline()).await?;
                read.map(|record| self.programs.learn(&record))
            }
        };
        info.filter(|info| info.tenant == caller.tenant)
            .ok_or_else(|| Problem::new(Code::NoProgram, "no such program"))
    }

    /// Rejects work that a store has to record while no store is reachable.
    pub(crate) fn check_store_reachable(&self) -> Result<(), Problem> {
        if self.ctx.node.reach.borrow().store {
            return Ok(());
        }
        Err(Problem::try_again("no store is reachable from this gateway", RETRY_STORE))
    }
}
