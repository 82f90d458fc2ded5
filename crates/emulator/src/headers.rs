//! Header names of the contract towards back ends.

/// Id of one request; echoed.
pub(crate) const REQUEST: &str = "x-hooklug-request";
/// `service/engine/incarnation` that is meant.
pub(crate) const EXPECT: &str = "x-hooklug-expect";
/// `service/engine/incarnation` that answers.
pub(crate) const ENGINE: &str = "x-hooklug-engine";
/// The explicit refusal: not run, and never will be.
pub(crate) const REFUSED: &str = "x-hooklug-refused";
/// `program/call`.
pub(crate) const CALL: &str = "x-hooklug-call";
/// The attempt.
pub(crate) const ATTEMPT: &str = "x-hooklug-attempt";
