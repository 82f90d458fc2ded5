//! Checks whether one more turn can run without using slots that are reserved for others.

use std::collections::BTreeMap;

use hooklug_types::{UnixMillis, WindowGroup};

use super::windows::ReservedSpan;

/// The attributes of a running or requesting turn that reservations depend on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Occupant {
    /// The turn's window group.
    pub(super) group: Option<WindowGroup>,
    /// Whether the turn may use the slots reserved for urgent turns.
    pub(super) urgent: bool,
    /// When the turn has finished at the latest.
    pub(super) ends_by: UnixMillis,
}

/// The engine's slots and the reservations on them.
#[derive(Debug, Clone, Default)]
pub(super) struct Reservations {
    pub(super) slots: u32,
    pub(super) urgent: u32,
    pub(super) spans: Vec<ReservedSpan>,
}

impl Reservations {
    /// Whether a turn may start now in addition to the running ones. It must leave the reserved slots
    /// of other groups free now and at the start of each window that opens before the turn's deadline.
    /// Idle slots of an upcoming window are therefore lent only to turns that finish before it opens.
    pub(super) fn allow(
        &self,
        requesting: &Occupant,
        running: &[&Occupant],
        now: UnixMillis,
    ) -> bool {
        let starts = self.spans.iter().map(|s| s.start);
        let upcoming = starts.filter(|start| *start > now && *start < requesting.ends_by);
        std::iter::once(now).chain(upcoming).all(|at| self.fits_at(requesting, running, now, at))
    }

    fn fits_at(
        &self,
        requesting: &Occupant,
        running: &[&Occupant],
        now: UnixMillis,
        at: UnixMillis,
    ) -> bool {
        // A turn that runs past its deadline still holds its slot now.
        let occupants = || running.iter().filter(|r| at <= now || r.ends_by > at);
        let occupied = occupants().count() as u64;
        let mut reserved = 0;
        for (group, slots) in self.reserved_slots_at(at) {
            if requesting.group.as_ref() == Some(group) {
                continue;
            }
            let used = occupants().filter(|r| r.group.as_ref() == Some(group)).count() as u64;
            reserved += u64::from(slots).saturating_sub(used);
        }
        if !requesting.urgent {
            let used = occupants().filter(|r| r.urgent).count() as u64;
            reserved += u64::from(self.urgent).saturating_sub(used);
        }
        let own =
            requesting.group.as_ref().and_then(|g| self.reserved_slots_at(at).get(g).copied());
        let used_by_own_group = occupants().filter(|r| r.group == requesting.group).count() as u64;
        let within_own_reservation = own.is_some_and(|slots| used_by_own_group < u64::from(slots));
        let free = u64::from(self.slots).saturating_sub(occupied);
        // A turn within its own group's reservation needs only a free slot.
        if within_own_reservation { free > 0 } else { free > reserved }
    }

    /// Slots reserved for each group at an instant; overlapping windows add up.
    pub(super) fn reserved_slots_at(&self, at: UnixMillis) -> BTreeMap<&WindowGroup, u32> {
        let mut shares = BTreeMap::new();
        for span in self.spans.iter().filter(|s| s.covers(at)) {
            let share: &mut u32 = shares.entry(&span.group).or_default();
            *share = share.saturating_add(span.slots);
        }
        shares
    }
}
