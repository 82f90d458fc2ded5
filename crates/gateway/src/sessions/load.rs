//! Load of session-host engines: the streams that this gateway routes, joined with what engines tell
//! on replies (design section 5; no broadcast of load).

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use hooklug_types::{EngineIncarnation, EngineLoad};

#[derive(Debug, Clone, Copy, Default)]
struct EngineState {
    /// Streams that this gateway routes to the engine now.
    routed: u32,
    /// The last report, and how many streams were routed when it came.
    reported: Option<(EngineLoad, u32)>,
}

impl EngineState {
    fn work(&self) -> u32 {
        match self.reported {
            None => self.routed,
            Some((load, routed_then)) => {
                (load.running + load.queued).saturating_add(self.routed.saturating_sub(routed_then))
            }
        }
    }
}

/// What is known of the engines' load. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct LoadTable {
    engines: Arc<Mutex<HashMap<EngineIncarnation, EngineState>>>,
}

/// A stream under way; dropping it lowers the engine's load.
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

    /// Notes what an engine told on a reply.
    pub fn report(&self, engine: &EngineIncarnation, load: EngineLoad) {
        let mut engines = self.lock();
        let state = engines.entry(engine.clone()).or_default();
        state.reported = Some((load, state.routed));
    }

    /// Turns that run or wait at an engine, as far as this gateway can tell.
    #[must_use]
    pub fn work(&self, engine: &EngineIncarnation) -> u32 {
        self.lock().get(engine).map_or(0, EngineState::work)
    }

    /// Whether the engine said that it is draining.
    #[must_use]
    pub fn is_draining(&self, engine: &EngineIncarnation) -> bool {
        let engines = self.lock();
        engines.get(engine).and_then(|state| state.reported).is_some_and(|(load, _)| load.draining)
    }

    /// Forgets engines that the cluster no longer lists and no stream runs to.
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
