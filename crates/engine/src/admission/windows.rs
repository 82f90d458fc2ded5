//! An engine's share of the reservation windows, computed from the bundle and the engine's own
//! number of slots (design document, section 5).

use hooklug_bundle::Bundle;
use hooklug_types::{ServiceName, UnixMillis, WindowGroup};

/// Slots that one engine reserves for a group during a time span.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReservedSpan {
    /// Start of the span, inclusive.
    pub start: UnixMillis,
    /// End of the span, exclusive.
    pub end: UnixMillis,
    /// Group of the programs that may use the slots.
    pub group: WindowGroup,
    /// Slots reserved at this engine.
    pub slots: u32,
}

impl ReservedSpan {
    /// Whether an instant lies within the span.
    #[must_use]
    pub fn covers(&self, at: UnixMillis) -> bool {
        self.start <= at && at < self.end
    }
}

/// The spans that an engine with `own_slots` slots reserves for a service's windows.
///
/// The engine's share of a window is proportional to its slots and rounded up, so that the engines
/// of the service together reserve at least the window's slots.
#[must_use]
pub fn reserved_spans(bundle: &Bundle, service: &ServiceName, own_slots: u32) -> Vec<ReservedSpan> {
    let Some(entry) = bundle.services.get(service) else { return Vec::new() };
    let service_slots = u64::from(entry.slots.max(own_slots).max(1));
    let own_share = |slots: u32| {
        let share = (u64::from(slots) * u64::from(own_slots)).div_ceil(service_slots);
        u32::try_from(share).unwrap_or(own_slots).min(own_slots)
    };
    bundle
        .windows
        .values()
        .filter(|window| window.service == *service)
        .map(|window| ReservedSpan {
            start: window.start,
            end: window.end,
            group: window.group.clone(),
            slots: own_share(window.slots),
        })
        .collect()
}
