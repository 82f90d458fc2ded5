//! The application engines of the view with their figures, pools and choices.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use hooklug_bundle::{Bundle, Service};
use hooklug_control::NodeHandle;
use hooklug_protocol::control::ClusterView;
use hooklug_types::{ServiceName, ServiceVersion, ZoneName};
use rand::RngExt;
use tokio::time::Instant;

use super::answer::{Answer, Refusal};
use super::balance::{Choice, choose};
use super::exchange::{Dispatch, ExchangeError};
use super::pool::Pool;
use super::stats::{CallEnd, EngineStats};
use super::{EngineRun, Target};
use crate::versions::{RolloutClock, StoppedVersions, preferred_versions};

/// What is known of one engine run beyond the view.
#[derive(Debug, Clone)]
struct Known {
    stats: EngineStats,
    /// It said that it drains: no new work, before the view tells.
    draining: bool,
}

/// The application engines.
#[derive(Debug)]
pub struct Backends {
    /// Open connections.
    pub pool: Pool,
    node: NodeHandle,
    zone: ZoneName,
    stopped: StoppedVersions,
    known: Mutex<HashMap<EngineRun, Known>>,
    rollouts: Mutex<RolloutClock>,
    turns: std::sync::atomic::AtomicUsize,
}

impl Backends {
    /// The application engines of a node's view.
    #[must_use]
    pub fn new(pool: Pool, node: NodeHandle, zone: ZoneName, stopped: StoppedVersions) -> Self {
        Self {
            pool,
            node,
            zone,
            stopped,
            known: Mutex::default(),
            rollouts: Mutex::default(),
            turns: std::sync::atomic::AtomicUsize::new(0),
        }
    }

    /// Notes a bundle that came into force: the steps of its new versions count from now.
    pub fn installed(&self, bundle: &Bundle) {
        let newest = bundle.services.iter();
        let newest = newest.filter_map(|(name, s)| s.newest_sound().map(|version| (name, version)));
        let mut rollouts = self.rollouts.lock().unwrap_or_else(PoisonError::into_inner);
        rollouts.installed(newest, Instant::now());
    }

    /// Notes the engines of a view: those that are new start slowly, those that are gone are forgotten.
    pub fn listed(&self, view: &ClusterView) {
        let now = Instant::now();
        let mut known = self.lock();
        let at_start = known.is_empty();
        for engine in view.engines.values() {
            let first_seen = (!at_start).then_some(now);
            known
                .entry(Target::of(engine).run)
                .or_insert_with(|| Known { stats: EngineStats::new(first_seen), draining: false });
        }
        let is_listed = |run: &EngineRun| {
            view.engines.get(&run.engine).is_some_and(|e| e.incarnation == run.incarnation)
        };
        known.retain(|run, state| is_listed(run) || state.stats.outstanding() > 0);
        drop(known);
        self.pool.sweep(is_listed);
    }

    /// All engines of a service that the view lists, whatever their state.
    #[must_use]
    pub fn all_of(&self, service: &ServiceName) -> Vec<Target> {
        let view = self.node.view.borrow().clone();
        view.engines.values().filter(|e| e.service == *service).map(Target::of).collect()
    }

    /// Chooses an engine for a call, not among those already tried.
    #[must_use]
    pub fn choose(
        &self,
        name: &ServiceName,
        service: &Service,
        tried: &[EngineRun],
    ) -> Option<Target> {
        let now = Instant::now();
        let age = {
            let rollouts = self.rollouts.lock().unwrap_or_else(PoisonError::into_inner);
            service.newest_sound().and_then(|version| rollouts.age(name, version, now))
        };
        let draw = rand::rng().random_range(0..100);
        let versions =
            preferred_versions(service, age, draw, |version| self.stopped.contains(name, version));
        let view = self.node.view.borrow().clone();
        versions.iter().find_map(|version| {
            let open = self.open(&view, name, version, service.concurrency_per_engine, tried);
            choose(&open, &self.zone, now, &mut rand::rng()).map(|c| c.target.clone())
        })
    }

    /// Takes engines in turn, whatever their figures: the baseline.
    #[must_use]
    pub fn next_in_turn(&self, name: &ServiceName, service: &Service) -> Option<Target> {
        let mut all = self.all_of(name);
        all.retain(|target| service.is_sound(&target.version));
        let turn = self.turns.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        (!all.is_empty()).then(|| all.swap_remove(turn % all.len()))
    }

    /// Sends a request to an engine and keeps its figures.
    ///
    /// # Errors
    /// [`ExchangeError`].
    pub async fn exchange(
        self: &Arc<Self>,
        target: &Target,
        dispatch: &Dispatch,
        deadline: Instant,
    ) -> Result<Answer, ExchangeError> {
        let mut call = Outstanding::begin(self.clone(), target.run.clone());
        let begun = Instant::now();
        let answered = self.pool.exchange(target, dispatch, deadline).await;
        call.end = match &answered {
            Ok(_) => CallEnd::Answered(begun.elapsed()),
            Err(ExchangeError::Refused(refusal)) => {
                self.refused(&target.run, *refusal);
                CallEnd::Refused
            }
            Err(ExchangeError::NotSent(_) | ExchangeError::Lost(_)) => CallEnd::Failed,
        };
        answered
    }

    /// An engine that drains, or whose address is another one's now, gets nothing more from here.
    fn refused(&self, run: &EngineRun, refusal: Refusal) {
        if refusal == Refusal::Overloaded {
            return;
        }
        if let Some(known) = self.lock().get_mut(run) {
            known.draining = true;
        }
    }

    fn open(
        &self,
        view: &ClusterView,
        name: &ServiceName,
        version: &ServiceVersion,
        limit: u32,
        tried: &[EngineRun],
    ) -> Vec<Choice> {
        let known = self.lock();
        let listed = view
            .engines
            .values()
            .filter(|e| e.service == *name && e.version == *version && !e.draining && e.healthy);
        listed
            .map(Target::of)
            .filter(|target| !tried.contains(&target.run))
            .filter_map(|target| {
                let state = known.get(&target.run);
                if state.is_some_and(|state| state.draining) {
                    return None;
                }
                let stats = state.map_or_else(|| EngineStats::new(None), |s| s.stats.clone());
                Some(Choice { target, stats, limit })
            })
            .collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<EngineRun, Known>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A call under way; counted as cancelled unless it is told otherwise.
struct Outstanding {
    backends: Arc<Backends>,
    run: EngineRun,
    end: CallEnd,
}

impl Outstanding {
    fn begin(backends: Arc<Backends>, run: EngineRun) -> Self {
        {
            let mut known = backends.lock();
            let state = known
                .entry(run.clone())
                .or_insert_with(|| Known { stats: EngineStats::new(None), draining: false });
            state.stats.begin();
        }
        Self { backends, run, end: CallEnd::Cancelled }
    }
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        if let Some(state) = self.backends.lock().get_mut(&self.run) {
            state.stats.end(self.end, Instant::now());
        }
    }
}
