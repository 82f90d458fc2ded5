//! An engine's share of the windows (design section 5): follows from the bundle and its own slots.

use hooklug_bundle::Bundle;
use hooklug_types::{ServiceName, UnixMillis, WindowGroup};

/// Slots that one engine keeps for a group over a span of time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReservedSpan {
    /// First instant.
    pub start: UnixMillis,
    /// First instant after it.
    pub end: UnixMillis,
    /// Programs that it is for.
    pub group: WindowGroup,
    /// Slots kept at this engine.
    pub slots: u32,
}

impl ReservedSpan {
    /// Whether an instant lies in the span.
    #[must_use]
    pub fn covers(&self, at: UnixMillis) -> bool {
        self.start <= at && at < self.end
    }
}

/// The spans that an engine with so many slots keeps for a service's windows. Each window gives the
/// engine its part by slots, rounded up, so that the engines of the service together keep at least
/// what the window asks for.
#[must_use]
pub fn reserved_spans(bundle: &Bundle, service: &ServiceName, own_slots: u32) -> Vec<ReservedSpan> {
    let Some(entry) = bundle.services.get(service) else { return Vec::new() };
    let whole = u64::from(entry.slots.max(own_slots).max(1));
    let part = |slots: u32| {
        let share = (u64::from(slots) * u64::from(own_slots)).div_ceil(whole);
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
            slots: part(window.slots),
        })
        .collect()
}
