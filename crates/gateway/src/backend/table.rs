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
use super::state::{Figures, is_listed};
use super::stats::CallEnd;
use super::wait_queue::Gates;
use super::{EngineRun, Target};
use crate::versions::{RolloutClock, StoppedVersions, preferred_versions, time_since};

/// Criteria for selecting an engine for a call.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
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
pub enum Found {
    /// An engine with a free slot, which is now occupied.
    Engine(Outstanding),
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
    pub gates: Gates,
    node: NodeHandle,
    zone: ZoneName,
    stopped: StoppedVersions,
    figures: Mutex<Figures>,
    rollouts: Mutex<RolloutClock>,
    turns: AtomicUsize,
}

impl Backends {
    /// Creates the table for a node.
    #[must_use]
    pub fn new(pool: Pool, node: NodeHandle, zone: ZoneName, stopped: StoppedVersions) -> Self {
        Self {
            pool,
            gates: Gates::default(),
            node,
            zone,
            stopped,
            figures: Mutex::default(),
            rollouts: Mutex::default(),
            turns: AtomicUsize::new(0),
        }
    }

    /// Applies an installed bundle. Rollout steps of its new versions count from its commit.
    pub fn installed(&self, installed: &InstalledBundle) {
        let bundle = &installed.bundle;
        let committed_for = time_since(installed.record.committed, UnixMillis::now());
        let newest = bundle.services.iter();
        let newest = newest.filter_map(|(name, s)| s.newest_sound().map(|version| (name, version)));
        self.rollouts().installed(newest, committed_for, Instant::now());
        self.lock().keep_routes(|route| bundle.routes.contains_key(route));
        self.close_circuits();
        self.gates.wake_all();
    }

    /// Closes all circuits, because the set of versions that receive calls has changed.
    pub fn close_circuits(&self) {
        self.lock().close_circuits();
    }

    /// Applies a cluster view: new engines get a slow start, removed ones are dropped.
    pub fn listed(&self, view: &Arc<ClusterView>) {
        {
            let mut figures = self.lock();
            figures.follow(view, Instant::now());
            figures.forget_unlisted();
        }
        self.pool.sweep(|run| is_listed(view, run));
        self.gates.wake_all();
    }

    /// Returns all engines of a service that the view lists, whatever their state.
    #[must_use]
    pub fn all_of(&self, service: &ServiceName) -> Vec<Arc<Target>> {
        self.lock_with_view().all_of(service).cloned().collect()
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
    pub fn find(self: &Arc<Self>, wanted: &Wanted<'_>, service: &Service) -> Found {
        let now = Instant::now();
        let versions = self.versions(wanted.service, service, now);
        let mut figures = self.lock_with_view();
        let mut full = false;
        for version in versions {
            let open = figures.open_engines(wanted, &version, service);
            full |= !open.is_empty();
            if let Some(choice) = choose(&open, &self.zone, now, &mut rand::rng()) {
                let target = choice.target.clone();
                return Found::Engine(self.begin(&mut figures, target, wanted.route, service));
            }
        }
        if full { Found::Full } else { Found::None }
    }

    /// Selects engines round-robin, ignoring their statistics (baseline mode).
    pub fn next_in_turn(self: &Arc<Self>, wanted: &Wanted<'_>, service: &Service) -> Found {
        let mut all = self.all_of(wanted.service);
        all.retain(|target| service.is_sound(&target.version));
        if all.is_empty() {
            return Found::None;
        }
        let turn = self.turns.fetch_add(1, Ordering::Relaxed);
        let target = all.swap_remove(turn % all.len());
        Found::Engine(self.begin(&mut self.lock(), target, wanted.route, service))
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

    fn versions(&self, name: &ServiceName, service: &Service, now: Instant) -> Vec<ServiceVersion> {
        let newest = service.newest_sound();
        let age = newest.and_then(|version| self.rollouts().age(name, version, now));
        let draw = rand::rng().random_range(0..100);
        preferred_versions(service, age, draw, |version| self.stopped.contains(name, version))
    }

    fn begin(
        self: &Arc<Self>,
        figures: &mut Figures,
        target: Arc<Target>,
        route: &RouteName,
        service: &Service,
    ) -> Outstanding {
        figures.begin(&target.run);
        Outstanding {
            backends: self.clone(),
            target,
            route: route.clone(),
            most: service.concurrency_per_engine,
            began: Instant::now(),
            end: CallEnd::Cancelled,
        }
    }

    /// Locks the state after updating it to the current view.
    fn lock_with_view(&self) -> MutexGuard<'_, Figures> {
        let view = self.node.view.borrow().clone();
        let mut figures = self.lock();
        figures.follow(&view, Instant::now());
        figures
    }

    fn rollouts(&self) -> MutexGuard<'_, RolloutClock> {
        self.rollouts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, Figures> {
        self.figures.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An occupied engine slot of a call. Counts as cancelled unless [`Outstanding::ended`] records
/// another outcome.
#[derive(Debug)]
pub struct Outstanding {
    backends: Arc<Backends>,
    /// The engine.
    pub target: Arc<Target>,
    route: RouteName,
    most: u32,
    began: Instant,
    end: CallEnd,
}

impl Outstanding {
    pub(super) fn route(&self) -> &RouteName {
        &self.route
    }

    /// Maximum concurrency of the engine, from the bundle.
    pub(super) fn most(&self) -> u32 {
        self.most
    }

    pub(super) fn began(&self) -> Instant {
        self.began
    }

    pub(super) fn end(&self) -> CallEnd {
        self.end
    }

    /// Records how the call ended.
    pub fn ended(&mut self, end: CallEnd) {
        self.end = end;
    }
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        self.backends.lock().ended(self, Instant::now());
        self.backends.gates.wake(&self.target.service);
    }
}
