//! Monotonic counters and other numeric types, one newtype per meaning.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next value.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    )*};
}

counters! {
    /// Ownership epoch of a session; incremented at every change of owner, which fences the former
    /// owner's writes.
    SessionEpoch,
    /// Epoch of the core leader; every controller write carries it, and writes with an older epoch
    /// are refused.
    FencingEpoch,
    /// One run of a process: its start time in microseconds since 1970, so that a restart has a
    /// higher value.
    Incarnation,
    /// Node id, chosen at random; persisted in the data folder if the node has one, otherwise new
    /// at each start.
    NodeId,
    /// Number of renewals of a lease; an expiry command names the renewal that it was based on.
    Renewal,
    /// Revision of the cluster view that a core serves.
    Revision,
    /// Version number of a bundle.
    BundleVersion,
    /// Sequence number of an event in its session's stream; the first is 1, and 0 stands for
    /// "before the first".
    EventSeq,
    /// A number of tokens.
    TokenCount,
    /// Wall-clock time in milliseconds since 1970, for records and end times. Safety never depends
    /// on comparing clocks of different machines.
    UnixMillis,
}

impl UnixMillis {
    /// Reads the wall clock.
    #[must_use]
    pub fn now() -> Self {
        let since =
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        Self(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns the time `span` later.
    #[must_use]
    pub fn plus(self, span: std::time::Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(span.as_millis()).unwrap_or(u64::MAX)))
    }

    /// Returns the time `millis` milliseconds later.
    #[must_use]
    pub fn plus_millis(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }

    /// Returns the duration until `later`, or zero if `later` is in the past.
    #[must_use]
    pub fn until(self, later: Self) -> std::time::Duration {
        std::time::Duration::from_millis(later.0.saturating_sub(self.0))
    }
}

impl Incarnation {
    /// Returns the incarnation of a process that starts now.
    #[must_use]
    pub fn at_start() -> Self {
        let since =
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        Self(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
    }
}
