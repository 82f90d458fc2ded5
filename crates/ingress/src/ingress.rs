//! The part of a gateway that passes requests through: what it knows, and the way of one request.

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
use crate::backends::{BackendTable, Purpose, Reserved, Wanted};
use crate::connections::Connections;
use crate::history_cache::HistoryCache;
use crate::records::TurnRecords;
use crate::routes::{NamedRoute, RouteTable, pick_service};
use crate::versions::AllowedVersions;
use crate::{BackendDialect, IngressRequest};

/// When a caller should come back who met a gateway without a bundle (ours).
const NOT_CONFIGURED_RETRY: Duration = Duration::from_millis(300);

/// Pause between sweeps of unused connections (ours).
const SWEEP_PAUSE: Duration = Duration::from_secs(2);

/// What the ingress is built from.
pub struct IngressContext {
    /// The node.
    pub node: NodeContext,
    /// The platform's list of back ends.
    pub backends: BackendWatch,
    /// How back ends speak.
    pub dialect: Arc<dyn BackendDialect>,
}

/// A bundle's routes, ready for use.
#[derive(Debug, Default)]
pub(crate) struct Routing {
    pub(crate) table: RouteTable,
    pub(crate) http: HttpRouting,
}

/// Passes requests through.
pub struct Ingress {
    pub(crate) node: NodeContext,
    list: BackendWatch,
    pub(crate) dialect: Arc<dyn BackendDialect>,
    pub(crate) backends: Arc<BackendTable>,
    pub(crate) connections: Arc<Connections>,
    pub(crate) records: TurnRecords,
    pub(crate) histories: Arc<HistoryCache>,
    /// Work that outlives its request: ends of turns whose callers left.
    pub(crate) afterwork: TaskTracker,
    routing: RwLock<Option<Arc<Routing>>>,
}

impl std::fmt::Debug for Ingress {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Ingress").field("node", &self.node.identity.address).finish_non_exhaustive()
    }
}

impl Ingress {
    /// An ingress that serves nothing before its bundle comes.
    #[must_use]
    pub fn new(context: IngressContext) -> Self {
        let IngressContext { node, backends: list, dialect } = context;
        let records = TurnRecords::new(node.state.clone(), node.identity.address.node);
        let backends = BackendTable::new(node.identity.address.rpc.to_string());
        Self {
            node,
            list,
            dialect,
            backends: Arc::new(backends),
            connections: Arc::default(),
            records,
            histories: Arc::default(),
            afterwork: TaskTracker::new(),
            routing: RwLock::default(),
        }
    }

    /// Follows the bundle and the list of back ends, for ever.
    pub async fn run(&self) {
        tokio::join!(
            self.follow_bundle(self.node.node.bundle.clone()),
            self.follow_list(self.list.clone()),
            self.sweep(),
        );
    }

    /// Waits for work that outlives its request.
    pub async fn finish(&self) {
        self.afterwork.close();
        self.afterwork.wait().await;
    }

    /// Serves one request. When the future is dropped the caller has left: the back end's work is cancelled.
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

    /// What callers may send, by the bundle in force.
    #[must_use]
    pub fn limits(&self) -> hooklug_bundle::http::HttpLimits {
        self.routing().map(|routing| routing.http.limits.clone()).unwrap_or_default()
    }

    /// Chooses a back end of the route for one more try.
    pub(crate) fn pick(
        &self,
        route: &NamedRoute,
        tried: &[EngineId],
        purpose: Purpose<'_>,
    ) -> Option<Reserved> {
        let mut rng = rand::rng();
        let service = pick_service(&route.route, &mut rng)?;
        let rollout = self.rollout(service);
        let versions = AllowedVersions::draw(rollout.as_ref(), &mut rng);
        let wanted = Wanted { service, versions: &versions, tried, purpose };
        let picked = self.backends.pick(&wanted, &mut rng);
        // The few engines of a version on trial may be full; then the others take the request.
        picked.or_else(|| {
            let AllowedVersions::Only(target) = &versions else { return None };
            let trial = rollout.as_ref().is_some_and(RolloutRecord::is_on_trial);
            let versions = AllowedVersions::AllBut(target.clone());
            let wanted = Wanted { service, versions: &versions, tried, purpose };
            trial.then(|| self.backends.pick(&wanted, &mut rng)).flatten()
        })
    }

    /// Whether a version of the service is being rolled out.
    pub(crate) fn is_watched(&self, service: &ServiceName) -> bool {
        self.rollout(service).is_some_and(|rollout| !rollout.phase.is_final())
    }

    fn rollout(&self, service: &ServiceName) -> Option<RolloutRecord> {
        self.node.node.view.borrow().meta.rollouts.get(service).cloned()
    }

    fn routing(&self) -> Option<Arc<Routing>> {
        self.routing.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn follow_bundle(&self, mut bundle: watch::Receiver<Option<Arc<InstalledBundle>>>) {
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

    async fn follow_list(&self, mut list: BackendWatch) {
        loop {
            if let Some(known) = list.borrow_and_update().clone() {
                self.backends.follow(&known);
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
