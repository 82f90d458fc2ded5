//! Decides when a lease may be expired (design document, section 3, lease mechanics). Free of I/O:
//! callers pass the current time.
//!
//! The group's leader measures a lease by its own monotonic clock, starting when it applied the
//! last renewal. The holder measures from before it sent that renewal, so it stops first; the
//! margin covers clocks that run at different rates. A new leader counts the full time from the
//! start of its leadership.

use std::time::{Duration, Instant};

use hooklug_types::Renewal;

/// How long a lease lasts after a renewal; engines and cores measure it by their own clocks.
pub const LEASE_TIME: Duration = Duration::from_secs(3);

/// Additional time that the group's leader waits before it expires a lease.
pub const LEASE_MARGIN: Duration = Duration::from_millis(500);

/// A lease as the group's leader knows it, from the replicated state and its local observations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseView {
    /// Number of the last renewal.
    pub renewal: Renewal,
    /// Whether the lease has already expired.
    pub expired: bool,
    /// When this replica applied the last renewal, if it did.
    pub renewed_at: Option<Instant>,
    /// Since when this replica leads the group.
    pub leading_since: Instant,
}

/// What the leader should do about a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseDecision {
    /// Nothing: the lease has expired permanently.
    Expired,
    /// Nothing yet: the lease is held for this much longer.
    Held(Duration),
    /// Propose to expire the lease, given that this is still its last renewal.
    ProposeExpiry(Renewal),
}

/// Decides whether a lease may be expired at the given time.
#[must_use]
pub fn decide(lease: LeaseView, now: Instant) -> LeaseDecision {
    if lease.expired {
        return LeaseDecision::Expired;
    }
    let start = lease.renewed_at.map_or(lease.leading_since, |at| at.max(lease.leading_since));
    let end = start + LEASE_TIME + LEASE_MARGIN;
    let remaining = end.saturating_duration_since(now);
    if remaining.is_zero() {
        LeaseDecision::ProposeExpiry(lease.renewal)
    } else {
        LeaseDecision::Held(remaining)
    }
}
