//! Which turn may run now: slots, a bounded queue, windows and an urgent reserve.
//!
//! Pure: time is an argument, everywhere in milliseconds since 1970, since windows are given so.
//! Order (ours): urgent turns first, then the tenant with the fewest running turns, then the earliest
//! deadline. A turn that can no longer end in time is refused as soon as that is known.

mod policy;
mod reserve;
mod windows;

pub use policy::{Admission, AdmissionLimits, Decision, Outcome, TurnAsk};
pub use windows::{ReservedSpan, reserved_spans};

/// Names one wish for a slot inside [`Admission`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);
