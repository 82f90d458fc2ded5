//! Load of session-host engines: the streams that this gateway routes, combined with the load that
//! engines report in replies (design document, section 5; load is not broadcast).

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use hooklug_types::{EngineIncarnation, EngineLoad};

#[derive(Debug, Clone, Copy, Default)]
struct EngineState {
    /// Streams currently routed to the engine by this gateway.
    routed: u32,
    /// The last report and the number of routed streams when it arrived.
    reported: Option<(EngineLoad, u32)>,
}

impl EngineState {
    fn work(&self) -> u32 {
        match self.reported {
            None => self.routed,
            Some((load, routed_at_report)) => (load.running + load.queued)
                .saturating_add(self.routed.saturating_sub(routed_at_report)),
        }
    }
}

/// Load of engines by incarnation. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct LoadTable {
    engines: Arc<Mutex<HashMap<EngineIncarnation, EngineState>>>,
}

/// A running stream; dropping it lowers the engine's load.
#[derive(Debug)]
pub struct RoutedStream {
    table: LoadTable,
    engine: EngineIncarnation,
}

impl LoadTable {
    /// Counts a stream to an engine for as long as the guard lives.
    #[must_use]
    pub fn route(&self, engine: &EngineIncarnation) -> RoutedStream {
        self.lock().entry(engine.clone()).or_default().routed += 1;
        RoutedStream { table: self.clone(), engine: engine.clone() }
    }

    /// Records the load that an engine reported in a reply.
    pub fn report(&self, engine: &EngineIncarnation, load: EngineLoad) {
        let mut engines = self.lock();
        let state = engines.entry(engine.clone()).or_default();
        state.reported = Some((load, state.routed));
    }

    /// Returns the estimated number of running and queued turns at an engine.
    #[must_use]
    pub fn work(&self, engine: &EngineIncarnation) -> u32 {
        self.lock().get(engine).map_or(0, EngineState::work)
    }

    /// Returns whether the engine reported that it is draining.
    #[must_use]
    pub fn is_draining(&self, engine: &EngineIncarnation) -> bool {
        let engines = self.lock();
        engines.get(engine).and_then(|state| state.reported).is_some_and(|(load, _)| load.draining)
    }

    /// Removes engines that the cluster no longer lists and that have no routed stream.
    pub fn retain(&self, listed: impl Fn(&EngineIncarnation) -> bool) {
        self.lock().retain(|engine, state| state.routed > 0 || listed(engine));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<EngineIncarnation, EngineState>> {
        self.engines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for RoutedStream {
    fn drop(&mut self) {
        if let Some(state) = self.table.lock().get_mut(&self.engine) {
            state.routed = state.routed.saturating_sub(1);
        }
    }
}
