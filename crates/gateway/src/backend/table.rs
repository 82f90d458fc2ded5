//! Application engines of the cluster view: selection of an engine for a call and tracking of
//! outstanding calls.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hooklug_bundle::Service;
use hooklug_control::{InstalledBundle, NodeHandle};
use hooklug_protocol::control::ClusterView;
use hooklug_types::{RouteName, ServiceName, ServiceVersion, UnixMillis, ZoneName};
use rand::RngExt;
use tokio::time::Instant;

use super::balance::choose;
use super::pool::Pool;
use super::state::{BackendState, is_listed};
use super::stats::CallEnd;
use super::wait_queue::WaitQueues;
use super::{EngineRun, Target};
use crate::versions::{RolloutClock, StoppedVersions, preferred_versions, time_since_commit};

/// Criteria for selecting an engine for a call.
#[derive(Debug, Clone, Copy)]
pub struct EngineCriteria<'a> {
    /// Route of the call.
    pub route: &'a RouteName,
    /// Service that handles the call.
    pub service: &'a ServiceName,
    /// Whether the call may use the capacity reserved for urgent calls.
    pub urgent: bool,
    /// Engines that were already tried.
    pub tried: &'a [EngineRun],
}

/// Result of selecting an engine.
#[derive(Debug)]
pub enum Selection {
    /// An engine with a free slot, which is now occupied.
    Engine(EngineSlot),
    /// All eligible engines are at capacity.
    Full,
    /// No eligible engine.
    None,
}

/// The application engines of a node's view, with their connections and queues.
#[derive(Debug)]
pub struct Backends {
    /// Connection pool.
    pub pool: Pool,
    /// Calls that wait for a free slot.
    pub wait_queues: WaitQueues,
    node: NodeHandle,
    zone: ZoneName,
    stopped: StoppedVersions,
    state: Mutex<BackendState>,
    rollouts: Mutex<RolloutClock>,
    round_robin: AtomicUsize,
}

impl Backends {
    /// Creates the table for a node.
    #[must_use]
    pub fn new(pool: Pool, node: NodeHandle, zone: ZoneName, stopped: StoppedVersions) -> Self {
        Self {
            pool,
            wait_queues: WaitQueues::default(),
            node,
            zone,
            stopped,
            state: Mutex::default(),
            rollouts: Mutex::default(),
            round_robin: AtomicUsize::new(0),
        }
    }

    /// Applies an installed bundle. Rollout steps of its new versions count from its commit.
    pub fn apply_bundle(&self, installed: &InstalledBundle) {
        let bundle = &installed.bundle;
        let committed_for = time_since_commit(installed.record.committed, UnixMillis::now());
        let newest = bundle.services.iter();
        let newest = newest.filter_map(|(name, s)| s.newest_sound().map(|version| (name, version)));
        self.rollouts().record_versions(newest, committed_for, Instant::now());
        self.lock().retain_routes(|route| bundle.routes.contains_key(route));
        self.close_circuits();
        self.wait_queues.wake_one_per_service();
    }

    /// Closes all circuits, because the set of versions that receive calls has changed.
    pub fn close_circuits(&self) {
        self.lock().close_circuits();
    }

    /// Applies a cluster view: new engines get a slow start, removed ones are dropped.
    pub fn apply_view(&self, view: &Arc<ClusterView>) {
        {
            let mut state = self.lock();
            state.update_view(view, Instant::now());
            state.forget_unlisted();
        }
        self.pool.sweep(|run| is_listed(view, run));
        self.wait_queues.wake_one_per_service();
    }

    /// Returns all engines of a service that the view lists, whatever their state.
    #[must_use]
    pub fn engines_of(&self, service: &ServiceName) -> Vec<Arc<Target>> {
        self.lock_with_view().engines_of(service).cloned().collect()
    }

    /// Returns whether an engine may get a call now: the view lists this run as healthy, and
    /// neither the view nor the engine's own refusals report that it is draining.
    #[must_use]
    pub fn is_open(&self, target: &Target) -> bool {
        let view = self.node.view.borrow().clone();
        let listed = view
            .engines
            .get(&target.run.engine)
            .is_some_and(|e| e.incarnation == target.run.incarnation && e.healthy && !e.draining);
        listed && !self.lock().is_draining(&target.run)
    }

    /// Selects an engine with a free slot and occupies the slot.
    pub fn select(self: &Arc<Self>, criteria: &EngineCriteria<'_>, service: &Service) -> Selection {
        let now = Instant::now();
        let version_order = self.version_order(criteria.service, service, now);
        let mut state = self.lock_with_view();
        let mut full = false;
        for version in version_order {
            let eligible = state.eligible_engines(criteria, &version, service);
            full |= !eligible.is_empty();
            if let Some(choice) = choose(&eligible, &self.zone, now, &mut rand::rng()) {
                let target = choice.target.clone();
                return Selection::Engine(self.occupy(&mut state, target, criteria.route, service));
            }
        }
        if full { Selection::Full } else { Selection::None }
    }

    /// Selects engines round-robin, ignoring their statistics (baseline mode).
    pub fn select_round_robin(
        self: &Arc<Self>,
        criteria: &EngineCriteria<'_>,
        service: &Service,
    ) -> Selection {
        let mut all = self.engines_of(criteria.service);
        all.retain(|target| service.is_sound(&target.version));
        if all.is_empty() {
            return Selection::None;
        }
        let position = self.round_robin.fetch_add(1, Ordering::Relaxed);
        let target = all.swap_remove(position % all.len());
        Selection::Engine(self.occupy(&mut self.lock(), target, criteria.route, service))
    }

    /// Returns the number of concurrent calls when all engines of a service are full, and the
    /// number of engines.
    #[must_use]
    pub fn capacity(&self, name: &ServiceName, service: &Service) -> (u32, usize) {
        self.lock_with_view().capacity(name, service)
    }

    /// Returns the recent average duration of a route's calls.
    #[must_use]
    pub fn average(&self, route: &RouteName) -> Duration {
        self.lock().average(route)
    }

    /// Checks the route's circuit breaker.
    ///
    /// # Errors
    /// The time after which to retry.
    pub fn admit(&self, route: &RouteName) -> Result<(), Duration> {
        self.lock().admit(route, Instant::now())
    }

    fn version_order(
        &self,
        name: &ServiceName,
        service: &Service,
        now: Instant,
    ) -> Vec<ServiceVersion> {
        let newest = service.newest_sound();
        let age = newest.and_then(|version| self.rollouts().age(name, version, now));
        let draw = rand::rng().random_range(0..100);
        preferred_versions(service, age, draw, |version| self.stopped.contains(name, version))
    }

    fn occupy(
        self: &Arc<Self>,
        state: &mut BackendState,
        target: Arc<Target>,
        route: &RouteName,
        service: &Service,
    ) -> EngineSlot {
        state.call_started(&target.run);
        EngineSlot {
            backends: self.clone(),
            target,
            route: route.clone(),
            max_concurrency: service.concurrency_per_engine,
            started: Instant::now(),
            end: CallEnd::Cancelled,
        }
    }

    /// Locks the state after updating it to the current view.
    fn lock_with_view(&self) -> MutexGuard<'_, BackendState> {
        let view = self.node.view.borrow().clone();
        let mut state = self.lock();
        state.update_view(&view, Instant::now());
        state
    }

    fn rollouts(&self) -> MutexGuard<'_, RolloutClock> {
        self.rollouts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, BackendState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An occupied engine slot of a call. Counts as cancelled unless [`EngineSlot::set_end`] records
/// another outcome.
#[derive(Debug)]
pub struct EngineSlot {
    backends: Arc<Backends>,
    /// The engine.
    pub target: Arc<Target>,
    route: RouteName,
    max_concurrency: u32,
    started: Instant,
    end: CallEnd,
}

impl EngineSlot {
    pub(super) fn route(&self) -> &RouteName {
        &self.route
    }

    /// Maximum concurrency of the engine, from the bundle.
    pub(super) fn max_concurrency(&self) -> u32 {
        self.max_concurrency
    }

    pub(super) fn started(&self) -> Instant {
        self.started
    }

    pub(super) fn end(&self) -> CallEnd {
        self.end
    }

    /// Records how the call ended.
    pub fn set_end(&mut self, end: CallEnd) {
        self.end = end;
    }
}

impl Drop for EngineSlot {
    fn drop(&mut self) {
        self.backends.lock().record_call_end(self, Instant::now());
        self.backends.wait_queues.wake_next(&self.target.service);
    }
}
