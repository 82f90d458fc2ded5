//! State of engines and routes: eligibility, statistics, adaptive limits and circuits. Pure.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hooklug_bundle::Service;
use hooklug_protocol::control::ClusterView;
use hooklug_types::{RouteName, ServiceName, ServiceVersion};
use tokio::time::Instant;

use super::answer::Refusal;
use super::balance::EligibleEngine;
use super::stats::{CallEnd, EngineStats};
use super::table::{EngineCriteria, EngineSlot};
use super::{EngineRun, Target};
use crate::limits::adaptive::{AdaptiveLimit, LoadSignal};
use crate::limits::baseline::Baseline;
use crate::limits::circuit::Circuit;

/// Share of an engine's limit reserved for urgent calls.
const URGENT_SHARE: f64 = 0.2;

/// Average call duration assumed before any call has ended.
const INITIAL_AVERAGE: Duration = Duration::from_millis(20);

/// Local state of one engine run.
#[derive(Debug, Clone)]
struct EngineState {
    stats: EngineStats,
    limit: AdaptiveLimit,
    /// The engine reported that it is draining, possibly before the view does.
    draining: bool,
}

impl EngineState {
    fn new(first_seen: Option<Instant>) -> Self {
        let limit = AdaptiveLimit::default();
        Self { stats: EngineStats::new(first_seen), limit, draining: false }
    }
}

/// An engine listed by the view.
#[derive(Debug)]
struct ListedEngine {
    target: Arc<Target>,
    /// Healthy and not draining.
    eligible: bool,
}

/// Latency baseline and circuit of one route.
#[derive(Debug, Clone, Default)]
struct RouteState {
    baseline: Option<Baseline>,
    circuit: Circuit,
}

/// Engines by service, state by engine run, and state by route.
#[derive(Debug, Default)]
pub(super) struct BackendState {
    view: Arc<ClusterView>,
    services: HashMap<ServiceName, Vec<ListedEngine>>,
    engines: HashMap<EngineRun, EngineState>,
    routes: HashMap<RouteName, RouteState>,
}

impl BackendState {
    /// Applies a view if it changed; new engines get a slow start.
    pub(super) fn update_view(&mut self, view: &Arc<ClusterView>, now: Instant) {
        if !Arc::ptr_eq(&self.view, view) {
            self.view = view.clone();
            self.rebuild(now);
        }
    }

    /// Removes engines that the view no longer lists once they have no outstanding calls.
    pub(super) fn forget_unlisted(&mut self) {
        let view = &self.view;
        self.engines.retain(|run, state| is_listed(view, run) || state.stats.outstanding() > 0);
    }

    fn rebuild(&mut self, now: Instant) {
        let first_seen = (!self.engines.is_empty()).then_some(now);
        self.services.clear();
        for engine in self.view.engines.values() {
            let target = Arc::new(Target::of(engine));
            self.engines.entry(target.run.clone()).or_insert_with(|| EngineState::new(first_seen));
            let listed = ListedEngine { target, eligible: engine.healthy && !engine.draining };
            self.services.entry(engine.service.clone()).or_default().push(listed);
        }
    }

    fn listed(&self, service: &ServiceName) -> &[ListedEngine] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns all engines of a service, whatever their state.
    pub(super) fn engines_of(&self, service: &ServiceName) -> impl Iterator<Item = &Arc<Target>> {
        self.listed(service).iter().map(|listed| &listed.target)
    }

    /// Returns whether an engine reported that it is draining.
    pub(super) fn is_draining(&self, run: &EngineRun) -> bool {
        self.engines.get(run).is_some_and(|state| state.draining)
    }

    /// Returns the engines of one version that are eligible for the call, including those at
    /// capacity.
    pub(super) fn eligible_engines(
        &self,
        criteria: &EngineCriteria<'_>,
        version: &ServiceVersion,
        service: &Service,
    ) -> Vec<EligibleEngine> {
        let listed = self.listed(criteria.service).iter();
        let eligible = listed.filter(|e| e.eligible && e.target.version == *version);
        eligible
            .filter(|e| !criteria.tried.contains(&e.target.run))
            .filter_map(|e| Some((&e.target, self.engines.get(&e.target.run)?)))
            .filter(|(_, state)| !state.draining)
            .map(|(target, state)| {
                let limit = state.limit.get(service.concurrency_per_engine);
                let limit = if criteria.urgent { limit } else { without_reserve(limit) };
                EligibleEngine { target: target.clone(), stats: state.stats.clone(), limit }
            })
            .collect()
    }

    /// Returns the number of concurrent calls when all engines of a service are full, and the
    /// number of engines.
    pub(super) fn capacity(&self, name: &ServiceName, service: &Service) -> (u32, usize) {
        let max_concurrency = service.concurrency_per_engine;
        let listed = self.listed(name);
        let states = listed.iter().filter_map(|e| self.engines.get(&e.target.run));
        (states.map(|state| state.limit.steady(max_concurrency)).sum(), listed.len())
    }

    /// Records the start of a call to an engine.
    pub(super) fn call_started(&mut self, run: &EngineRun) {
        if let Some(state) = self.engines.get_mut(run) {
            state.stats.call_started();
        }
    }

    /// Records how a call ended.
    pub(super) fn record_call_end(&mut self, call: &EngineSlot, now: Instant) {
        let signal = self.observe_route(call.route(), call.end(), now);
        let Some(state) = self.engines.get_mut(&call.target.run) else { return };
        if let Some(signal) = signal {
            let outstanding = state.stats.outstanding();
            state.limit.record(signal, outstanding, call.max_concurrency(), call.started(), now);
        }
        state.stats.record_call_end(call.end(), now);
        // This run gets no more calls from here if it is draining or its address belongs to another
        // engine.
        let refusal = matches!(call.end(), CallEnd::Refused(Refusal::Draining | Refusal::Identity));
        state.draining |= refusal;
    }

    /// Records how a call of a route ended and returns what it indicates about the engine's load.
    fn observe_route(
        &mut self,
        route: &RouteName,
        end: CallEnd,
        now: Instant,
    ) -> Option<LoadSignal> {
        let state = self.routes.entry(route.clone()).or_default();
        match end {
            CallEnd::Answered(latency) => {
                state.circuit.record(true, now);
                let baseline = state.baseline.get_or_insert_with(|| Baseline::new(latency, now));
                Some(LoadSignal::Answered { ratio: baseline.observe(latency, now) })
            }
            CallEnd::Failed => {
                state.circuit.record(false, now);
                Some(LoadSignal::Overloaded)
            }
            CallEnd::Refused(Refusal::Overloaded) => Some(LoadSignal::Overloaded),
            CallEnd::Refused(Refusal::Draining | Refusal::Identity) | CallEnd::Cancelled => None,
        }
    }

    /// Checks a route's circuit breaker.
    ///
    /// # Errors
    /// The time after which to retry.
    pub(super) fn admit(&mut self, route: &RouteName, now: Instant) -> Result<(), Duration> {
        self.routes.get_mut(route).map_or(Ok(()), |state| state.circuit.admit(now))
    }

    /// Returns the recent average duration of a route's calls.
    pub(super) fn average(&self, route: &RouteName) -> Duration {
        let baseline = self.routes.get(route).and_then(|r| r.baseline.as_ref());
        baseline.map_or(INITIAL_AVERAGE, Baseline::average)
    }

    /// Removes routes that the bundle no longer lists.
    pub(super) fn retain_routes(&mut self, is_route: impl Fn(&RouteName) -> bool) {
        self.routes.retain(|route, _| is_route(route));
    }

    /// Closes all circuits.
    pub(super) fn close_circuits(&mut self) {
        self.routes.values_mut().for_each(|route| route.circuit = Circuit::default());
    }
}

/// Returns whether a view lists an engine run.
pub(super) fn is_listed(view: &ClusterView, run: &EngineRun) -> bool {
    view.engines.get(&run.engine).is_some_and(|e| e.incarnation == run.incarnation)
}

/// Returns the part of a limit available to non-urgent calls; at least 1.
fn without_reserve(limit: u32) -> u32 {
    let reserve = (f64::from(limit) * URGENT_SHARE) as u32;
    (limit - reserve).max(1)
}
