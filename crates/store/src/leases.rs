//! When a lease may be ended (design section 3, lease mechanics). Pure: instants come in.
//!
//! The group's leader judges by its own monotonic clock from the apply of the last renewal. The holder
//! counts from before it sent that renewal, so it stops first; the margin covers clocks that run at
//! different rates. A new leader counts in full from when it began to lead.

use std::time::{Duration, Instant};

use hooklug_types::Renewal;

/// How long a lease lasts after a renewal; engines and cores count it on their own clocks (ours).
pub const LEASE_TIME: Duration = Duration::from_secs(3);

/// What the judge adds to it (ours).
pub const LEASE_MARGIN: Duration = Duration::from_millis(500);

/// A lease as the state and the leader's notes have it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseView {
    /// Renewals so far.
    pub renewal: Renewal,
    /// Whether it has expired already.
    pub expired: bool,
    /// When that renewal was applied at this replica, if it was.
    pub renewed: Option<Instant>,
    /// Since when this replica leads the group.
    pub leading_since: Instant,
}

/// What is to be done about a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judgement {
    /// It has expired, for ever.
    Expired,
    /// It is held for so long yet.
    Held(Duration),
    /// Its time is over: propose its end, naming this renewal.
    Propose(Renewal),
}

/// Judges a lease at an instant.
#[must_use]
pub fn judge(lease: LeaseView, now: Instant) -> Judgement {
    if lease.expired {
        return Judgement::Expired;
    }
    let since = lease.renewed.map_or(lease.leading_since, |at| at.max(lease.leading_since));
    let end = since + LEASE_TIME + LEASE_MARGIN;
    let left = end.saturating_duration_since(now);
    if left.is_zero() { Judgement::Propose(lease.renewal) } else { Judgement::Held(left) }
}
