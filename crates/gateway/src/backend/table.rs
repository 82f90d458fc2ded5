//! The application engines of the view, with what calls have shown of them.

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

/// A call that looks for an engine.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
    /// Its route.
    pub route: &'a RouteName,
    /// Service that takes it.
    pub service: &'a ServiceName,
    /// Whether it may use the urgent reserve.
    pub urgent: bool,
    /// Engines that it has tried already.
    pub tried: &'a [EngineRun],
}

/// What a look for an engine found.
#[derive(Debug)]
pub enum Found {
    /// An engine with room, which is now taken up.
    Engine(Outstanding),
    /// Engines without room.
    Full,
    /// No engine that could take the call.
    None,
}

/// The application engines.
#[derive(Debug)]
pub struct Backends {
    /// Open connections.
    pub pool: Pool,
    /// Calls that wait for room.
    pub gates: Gates,
    node: NodeHandle,
    zone: ZoneName,
    stopped: StoppedVersions,
    figures: Mutex<Figures>,
    rollouts: Mutex<RolloutClock>,
    turns: AtomicUsize,
}

impl Backends {
    /// The application engines of a node's view.
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

    /// Notes a bundle that came into force: the steps of its new versions count from its commit.
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

    /// Closes all circuits: the versions that calls go to have changed, and with them the cause.
    pub fn close_circuits(&self) {
        self.lock().close_circuits();
    }

    /// Notes the engines of a view: those that are new start slowly, those that are gone are forgotten.
    pub fn listed(&self, view: &Arc<ClusterView>) {
        {
            let mut figures = self.lock();
            figures.follow(view, Instant::now());
            figures.forget_unlisted();
        }
        self.pool.sweep(|run| is_listed(view, run));
        self.gates.wake_all();
    }

    /// All engines of a service that the view lists, whatever their state.
    #[must_use]
    pub fn all_of(&self, service: &ServiceName) -> Vec<Arc<Target>> {
        self.lock_with_view().all_of(service).cloned().collect()
    }

    /// Whether an engine may get a call now: the view lists this run of it as well, and neither the
    /// view nor its own refusals say that it drains.
    #[must_use]
    pub fn is_open(&self, target: &Target) -> bool {
        let view = self.node.view.borrow().clone();
        let listed = view
            .engines
            .get(&target.run.engine)
            .is_some_and(|e| e.incarnation == target.run.incarnation && e.healthy && !e.draining);
        listed && !self.lock().is_draining(&target.run)
    }

    /// Looks for an engine with room and takes it up.
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

    /// Takes engines in turn, whatever their figures: the baseline.
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

    /// Calls that run at once when all of a service's engines are full, and their number.
    #[must_use]
    pub fn capacity(&self, name: &ServiceName, service: &Service) -> (u32, usize) {
        self.lock_with_view().capacity(name, service)
    }

    /// Average time of a route's calls of late.
    #[must_use]
    pub fn average(&self, route: &RouteName) -> Duration {
        self.lock().average(route)
    }

    /// Whether the route's circuit lets a call out.
    ///
    /// # Errors
    /// When to come back.
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

    /// Figures that know the present view.
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

/// A call's room at an engine; counted as cancelled unless it is told otherwise.
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

    /// Most calls that the engine gets at once, by the bundle.
    pub(super) fn most(&self) -> u32 {
        self.most
    }

    pub(super) fn began(&self) -> Instant {
        self.began
    }

    pub(super) fn end(&self) -> CallEnd {
        self.end
    }

    /// Notes how the call ended.
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
