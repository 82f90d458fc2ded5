//! Header names of the backend interface.

/// Request id, echoed in the response.
pub(crate) const REQUEST: &str = "x-hooklug-request";
/// Expected identity of the backend, as `service/engine/incarnation`.
pub(crate) const EXPECT: &str = "x-hooklug-expect";
/// Identity of the responding backend, as `service/engine/incarnation`.
pub(crate) const ENGINE: &str = "x-hooklug-engine";
/// Reason of an explicit refusal: the request was not run and never will be.
pub(crate) const REFUSED: &str = "x-hooklug-refused";
/// Program and id of the call, as `program/call`.
pub(crate) const CALL: &str = "x-hooklug-call";
/// Id of the attempt.
pub(crate) const ATTEMPT: &str = "x-hooklug-attempt";
