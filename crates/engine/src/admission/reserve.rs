//! Whether one more turn leaves every reservation intact.

use std::collections::BTreeMap;

use hooklug_types::{UnixMillis, WindowGroup};

use super::windows::ReservedSpan;

/// What of a running or asking turn matters to reservations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Occupant {
    /// Its group.
    pub(super) group: Option<WindowGroup>,
    /// Whether it may use the urgent reserve.
    pub(super) urgent: bool,
    /// When it is over at the latest.
    pub(super) ends_by: UnixMillis,
}

/// All slots and what is kept of them.
#[derive(Debug, Clone, Default)]
pub(super) struct Reservations {
    pub(super) slots: u32,
    pub(super) urgent: u32,
    pub(super) spans: Vec<ReservedSpan>,
}

impl Reservations {
    /// Whether a turn may run from now on beside those that run. It must leave the others' reserved
    /// slots free now, and at the start of each window that opens before it is over: idle slots of a
    /// coming window are lent only to turns that end in time.
    pub(super) fn allow(&self, asking: &Occupant, running: &[&Occupant], now: UnixMillis) -> bool {
        let starts = self.spans.iter().map(|s| s.start);
        let within = starts.filter(|start| *start > now && *start < asking.ends_by);
        std::iter::once(now).chain(within).all(|at| self.fits_at(asking, running, now, at))
    }

    fn fits_at(
        &self,
        asking: &Occupant,
        running: &[&Occupant],
        now: UnixMillis,
        at: UnixMillis,
    ) -> bool {
        // A turn that overstays its end still holds its slot now.
        let present = || running.iter().filter(|r| at <= now || r.ends_by > at);
        let occupied = present().count() as u64;
        let mut kept = 0;
        for (group, slots) in self.shares_at(at) {
            if asking.group.as_ref() == Some(group) {
                continue;
            }
            let used = present().filter(|r| r.group.as_ref() == Some(group)).count() as u64;
            kept += u64::from(slots).saturating_sub(used);
        }
        if !asking.urgent {
            let used = present().filter(|r| r.urgent).count() as u64;
            kept += u64::from(self.urgent).saturating_sub(used);
        }
        let own = asking.group.as_ref().and_then(|g| self.shares_at(at).get(g).copied());
        let used_of_own = present().filter(|r| r.group == asking.group).count() as u64;
        let within_own_share = own.is_some_and(|slots| used_of_own < u64::from(slots));
        let free = u64::from(self.slots).saturating_sub(occupied);
        // A member within its group's share needs only a free slot.
        if within_own_share { free > 0 } else { free > kept }
    }

    /// Slots kept for each group at an instant; overlapping windows add up.
    pub(super) fn shares_at(&self, at: UnixMillis) -> BTreeMap<&WindowGroup, u32> {
        let mut shares = BTreeMap::new();
        for span in self.spans.iter().filter(|s| s.covers(at)) {
            let share: &mut u32 = shares.entry(&span.group).or_default();
            *share = share.saturating_add(span.slots);
        }
        shares
    }
}
