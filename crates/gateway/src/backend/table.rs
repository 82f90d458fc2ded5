//! The application engines of the view, with what calls have shown of them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hooklug_bundle::Service;
use hooklug_control::{InstalledBundle, NodeHandle};
use hooklug_protocol::control::ClusterView;
use hooklug_types::{RouteName, ServiceName, ServiceVersion, UnixMillis, ZoneName};
use rand::RngExt;
use tokio::time::Instant;

use super::answer::Refusal;
use super::balance::{Choice, choose};
use super::gate::Gates;
use super::pool::Pool;
use super::stats::{CallEnd, EngineStats};
use super::{EngineRun, Target};
use crate::limits::adaptive::{AdaptiveLimit, Sign};
use crate::limits::baseline::Baseline;
use crate::limits::circuit::Circuit;
use crate::versions::{RolloutClock, StoppedVersions, preferred_versions, time_since};

/// Share of an engine's limit that only urgent calls may use (ours).
const URGENT_SHARE: f64 = 0.2;

/// Average time of a call before any has ended (ours).
const FIRST_AVERAGE: Duration = Duration::from_millis(20);

/// What is known of one engine run beyond the view.
#[derive(Debug, Clone)]
struct Known {
    stats: EngineStats,
    limit: AdaptiveLimit,
    /// It said that it drains: no new work, before the view tells.
    draining: bool,
}

impl Known {
    fn new(first_seen: Option<Instant>) -> Self {
        let limit = AdaptiveLimit::default();
        Self { stats: EngineStats::new(first_seen), limit, draining: false }
    }
}

/// What is known of one route.
#[derive(Debug, Clone, Default)]
struct RouteState {
    baseline: Option<Baseline>,
    circuit: Circuit,
}

#[derive(Debug, Default)]
struct Figures {
    engines: HashMap<EngineRun, Known>,
    routes: HashMap<RouteName, RouteState>,
}

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
        self.lock().routes.retain(|route, _| bundle.routes.contains_key(route));
        self.close_circuits();
        self.gates.wake_all();
    }

    /// Closes all circuits: the versions that calls go to have changed, and with them the cause.
    pub fn close_circuits(&self) {
        self.lock().routes.values_mut().for_each(|route| route.circuit = Circuit::default());
    }

    /// Notes the engines of a view: those that are new start slowly, those that are gone are forgotten.
    pub fn listed(&self, view: &ClusterView) {
        let now = Instant::now();
        let is_listed = |run: &EngineRun| {
            view.engines.get(&run.engine).is_some_and(|e| e.incarnation == run.incarnation)
        };
        {
            let engines = &mut self.lock().engines;
            let first_seen = (!engines.is_empty()).then_some(now);
            for engine in view.engines.values() {
                let run = Target::of(engine).run;
                engines.entry(run).or_insert_with(|| Known::new(first_seen));
            }
            engines.retain(|run, known| is_listed(run) || known.stats.outstanding() > 0);
        }
        self.pool.sweep(is_listed);
        self.gates.wake_all();
    }

    /// All engines of a service that the view lists, whatever their state.
    #[must_use]
    pub fn all_of(&self, service: &ServiceName) -> Vec<Target> {
        let view = self.node.view.borrow().clone();
        view.engines.values().filter(|e| e.service == *service).map(Target::of).collect()
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
        listed && self.lock().engines.get(&target.run).is_none_or(|known| !known.draining)
    }

    /// Looks for an engine with room and takes it up.
    pub fn find(self: &Arc<Self>, wanted: &Wanted<'_>, service: &Service) -> Found {
        let now = Instant::now();
        let versions = self.versions(wanted.service, service, now);
        let view = self.node.view.borrow().clone();
        let mut figures = self.lock();
        let mut full = false;
        for version in versions {
            let open = open_engines(&figures, &view, wanted, &version, service);
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
        let all = self.all_of(name);
        let figures = self.lock();
        let limit = |target: &Target| {
            figures.engines.get(&target.run).map(|k| k.limit.steady(service.concurrency_per_engine))
        };
        (all.iter().filter_map(limit).sum(), all.len())
    }

    /// Average time of a route's calls of late.
    #[must_use]
    pub fn average(&self, route: &RouteName) -> Duration {
        let figures = self.lock();
        let baseline = figures.routes.get(route).and_then(|r| r.baseline.as_ref());
        baseline.map_or(FIRST_AVERAGE, Baseline::average)
    }

    /// Whether the route's circuit lets a call out.
    ///
    /// # Errors
    /// When to come back.
    pub fn admit(&self, route: &RouteName) -> Result<(), Duration> {
        let mut figures = self.lock();
        let Some(state) = figures.routes.get_mut(route) else { return Ok(()) };
        state.circuit.admit(Instant::now())
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
        target: Target,
        route: &RouteName,
        service: &Service,
    ) -> Outstanding {
        let known = figures.engines.entry(target.run.clone()).or_insert_with(|| Known::new(None));
        known.stats.begin();
        Outstanding {
            backends: self.clone(),
            target,
            route: route.clone(),
            most: service.concurrency_per_engine,
            began: Instant::now(),
            end: CallEnd::Cancelled,
        }
    }

    fn ended(&self, call: &Outstanding) {
        let now = Instant::now();
        let figures = &mut *self.lock();
        let sign = figures.observe_route(&call.route, call.end, now);
        let Some(known) = figures.engines.get_mut(&call.target.run) else { return };
        if let Some(sign) = sign {
            known.limit.learn(sign, known.stats.outstanding(), call.most, call.began, now);
        }
        known.stats.end(call.end, now);
        // An engine that drains, or whose address is another one's now, gets nothing more from here.
        let refusal = matches!(call.end, CallEnd::Refused(Refusal::Draining | Refusal::Identity));
        known.draining |= refusal;
    }

    fn rollouts(&self) -> MutexGuard<'_, RolloutClock> {
        self.rollouts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, Figures> {
        self.figures.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Figures {
    /// Notes how a call of a route ended, and what that says of its engine's load.
    fn observe_route(&mut self, route: &RouteName, end: CallEnd, now: Instant) -> Option<Sign> {
        let state = self.routes.entry(route.clone()).or_default();
        match end {
            CallEnd::Answered(latency) => {
                state.circuit.ended(true, now);
                let baseline = state.baseline.get_or_insert_with(|| Baseline::new(latency, now));
                Some(Sign::Answered { ratio: baseline.observe(latency, now) })
            }
            CallEnd::Failed => {
                state.circuit.ended(false, now);
                Some(Sign::Overloaded)
            }
            CallEnd::Refused(Refusal::Overloaded) => Some(Sign::Overloaded),
            CallEnd::Refused(Refusal::Draining | Refusal::Identity) | CallEnd::Cancelled => None,
        }
    }
}

/// Engines of one version that can take the call, whether or not they have room.
fn open_engines(
    figures: &Figures,
    view: &ClusterView,
    wanted: &Wanted<'_>,
    version: &ServiceVersion,
    service: &Service,
) -> Vec<Choice> {
    let listed = view.engines.values().filter(|e| {
        e.service == *wanted.service && e.version == *version && !e.draining && e.healthy
    });
    let targets = listed.map(Target::of).filter(|target| !wanted.tried.contains(&target.run));
    let known = |target: &Target| {
        figures.engines.get(&target.run).cloned().unwrap_or_else(|| Known::new(None))
    };
    let with_figures = targets.map(|target| (known(&target), target));
    with_figures
        .filter(|(known, _)| !known.draining)
        .map(|(known, target)| {
            let limit = known.limit.get(service.concurrency_per_engine);
            let limit = if wanted.urgent { limit } else { without_reserve(limit) };
            Choice { target, stats: known.stats, limit }
        })
        .collect()
}

/// The part of a limit that calls without urgency may use; at least 1.
fn without_reserve(limit: u32) -> u32 {
    let reserve = (f64::from(limit) * URGENT_SHARE) as u32;
    (limit - reserve).max(1)
}

/// A call's room at an engine; counted as cancelled unless it is told otherwise.
#[derive(Debug)]
pub struct Outstanding {
    backends: Arc<Backends>,
    /// The engine.
    pub target: Target,
    route: RouteName,
    most: u32,
    began: Instant,
    end: CallEnd,
}

impl Outstanding {
    /// Notes how the call ended.
    pub fn ended(&mut self, end: CallEnd) {
        self.end = end;
    }
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        self.backends.ended(self);
        self.backends.gates.wake(&self.target.service);
    }
}
