//! Admission control of turns: slots, a bounded queue, windows and a reserve for urgent turns.
//!
//! No I/O and no clock: time is an argument, in milliseconds since the Unix epoch because the bundle
//! defines windows that way. Waiting turns start in this order: urgent turns first, then turns of the
//! tenant with the fewest running turns, then by earliest deadline. A turn is refused as soon as it
//! can no longer finish before its deadline.

mod policy;
mod reserve;
mod windows;

pub use policy::{Admission, AdmissionLimits, AdmissionRequest, Decision, Outcome};
pub use windows::{ReservedSpan, reserved_spans};

/// Identifies one slot request within [`Admission`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);
