//! The ingress: routing state, background tasks and dispatch of requests.

use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use hooklug_bundle::http::HttpRouting;
use hooklug_control::backends::BackendWatch;
use hooklug_control::{InstalledBundle, NodeContext};
use hooklug_state::meta::RolloutRecord;
use hooklug_types::{EngineId, ServiceName};
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use crate::answer::{IngressAnswer, Refusal};
use crate::backends::{BackendTable, RequestKind, Reservation, SelectionCriteria};
use crate::connections::Connections;
use crate::history_cache::HistoryCache;
use crate::records::TurnRecords;
use crate::routes::{NamedRoute, RouteTable, pick_service};
use crate::running_turns::RunningTurns;
use crate::unknown_turns::UnknownTurns;
use crate::versions::AllowedVersions;
use crate::waiting_ends::{WaitingEnds, WaitingLimits};
use crate::{BackendDialect, IngressRequest};

/// Retry time returned to a caller while the gateway has no bundle.
const NOT_CONFIGURED_RETRY: Duration = Duration::from_millis(300);

/// Pause between sweeps of the connection pool.
const SWEEP_PAUSE: Duration = Duration::from_secs(2);

/// Components that an [`Ingress`] is built from.
pub struct IngressContext {
    /// Context of the node.
    pub node: NodeContext,
    /// The platform's list of backends.
    pub backends: BackendWatch,
    /// HTTP dialect of the backends.
    pub dialect: Arc<dyn BackendDialect>,
}

/// The HTTP sections of the installed bundle with their lookup table.
#[derive(Debug, Default)]
pub(crate) struct Routing {
    pub(crate) table: RouteTable,
    pub(crate) http: HttpRouting,
}

/// Forwards requests to backends.
pub struct Ingress {
    pub(crate) node: NodeContext,
    list: BackendWatch,
    pub(crate) dialect: Arc<dyn BackendDialect>,
    pub(crate) backends: Arc<BackendTable>,
    pub(crate) connections: Arc<Connections>,
    pub(crate) records: TurnRecords,
    pub(crate) running_turns: RunningTurns,
    pub(crate) waiting_ends: WaitingEnds,
    pub(crate) unknown_turns: UnknownTurns,
    pub(crate) histories: Arc<HistoryCache>,
    /// Tasks that outlive their request, such as recording the end of a turn.
    pub(crate) background_tasks: TaskTracker,
    routing: RwLock<Option<Arc<Routing>>>,
}

impl std::fmt::Debug for Ingress {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Ingress").field("node", &self.node.identity.address).finish_non_exhaustive()
    }
}

impl Ingress {
    /// Creates an ingress, which refuses all requests until [`Ingress::run`] has received a bundle.
    #[must_use]
    pub fn new(context: IngressContext) -> Self {
        let IngressContext { node, backends: list, dialect } = context;
        let records = TurnRecords::new(node.state.clone(), node.identity.address.node);
        let background_tasks = TaskTracker::new();
        let waiting_ends = WaitingEnds::new(
            node.state.clone(),
            background_tasks.clone(),
            WaitingLimits::default(),
        );
        let unknown_turns = UnknownTurns::new(node.state.clone(), background_tasks.clone());
        let backends = BackendTable::new(node.identity.address.rpc.to_string());
        Self {
            node,
            list,
            dialect,
            backends: Arc::new(backends),
            connections: Arc::default(),
            records,
            running_turns: RunningTurns::default(),
            waiting_ends,
            unknown_turns,
            histories: Arc::default(),
            background_tasks,
            routing: RwLock::default(),
        }
    }

    /// Applies changes of the bundle and of the list of backends and sweeps idle connections; never
    /// returns.
    pub async fn run(&self) {
        tokio::join!(
            self.watch_bundle(self.node.node.bundle.clone()),
            self.watch_list(self.list.clone()),
            self.sweep(),
        );
    }

    /// Waits for the tasks that outlive their request.
    pub async fn finish(&self) {
        self.background_tasks.close();
        self.background_tasks.wait().await;
    }

    /// Serves one request. Dropping the future, as when the caller disconnects, cancels the request at
    /// the backend.
    pub async fn serve(&self, request: &IngressRequest) -> IngressAnswer {
        let Some(routing) = self.routing() else {
            return Refusal::NotConfigured { retry_after: NOT_CONFIGURED_RETRY }.into();
        };
        let Some(route) = routing.table.find(&request.host, request.uri.path()) else {
            return Refusal::NoRoute.into();
        };
        match &request.turn {
            Some(turn) if route.route.streaming => {
                self.serve_turn(request, turn, route, &routing).await
            }
            _ => self.serve_call(request, route).await,
        }
    }

    /// Limits of callers' requests under the installed bundle.
    #[must_use]
    pub fn limits(&self) -> hooklug_bundle::http::HttpLimits {
        self.routing().map(|routing| routing.http.limits.clone()).unwrap_or_default()
    }

    /// Selects a backend of the route for the next attempt.
    pub(crate) fn pick(
        &self,
        route: &NamedRoute,
        tried: &[EngineId],
        kind: RequestKind<'_>,
    ) -> Option<Reservation> {
        let mut rng = rand::rng();
        let service = pick_service(&route.route, &mut rng)?;
        let rollout = self.rollout(service);
        let versions = AllowedVersions::draw(rollout.as_ref(), &mut rng);
        let criteria = SelectionCriteria { service, versions: &versions, tried, kind };
        let picked = self.backends.pick(&criteria, &mut rng);
        // A version on trial has few engines; if they are full, other versions serve the request.
        picked.or_else(|| {
            let AllowedVersions::Trial(target, _) = &versions else { return None };
            let versions = AllowedVersions::AllBut(target.clone());
            let criteria = SelectionCriteria { service, versions: &versions, tried, kind };
            self.backends.pick(&criteria, &mut rng)
        })
    }

    /// Whether a version of the service is being rolled out.
    pub(crate) fn has_rollout(&self, service: &ServiceName) -> bool {
        self.rollout(service).is_some_and(|rollout| !rollout.phase.is_final())
    }

    fn rollout(&self, service: &ServiceName) -> Option<RolloutRecord> {
        self.node.node.view.borrow().meta.rollouts.get(service).cloned()
    }

    fn routing(&self) -> Option<Arc<Routing>> {
        self.routing.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn watch_bundle(&self, mut bundle: watch::Receiver<Option<Arc<InstalledBundle>>>) {
        loop {
            let installed = bundle.borrow_and_update().clone();
            if let Some(http) = installed.and_then(|installed| installed.bundle.http.clone()) {
                let routing = Routing { table: RouteTable::new(&http), http };
                *self.routing.write().unwrap_or_else(PoisonError::into_inner) =
                    Some(Arc::new(routing));
            }
            if bundle.changed().await.is_err() {
                return;
            }
        }
    }

    async fn watch_list(&self, mut list: BackendWatch) {
        loop {
            if let Some(known) = list.borrow_and_update().clone() {
                self.backends.apply_list(&known);
            }
            if list.changed().await.is_err() {
                return;
            }
        }
    }

    async fn sweep(&self) {
        loop {
            tokio::time::sleep(SWEEP_PAUSE).await;
            self.connections.sweep(|backend| self.backends.is_listed(backend));
        }
    }
}
