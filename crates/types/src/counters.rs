//! Numbers that only grow, one type per meaning.

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
            /// The next value.
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
    /// Ownership epoch of a session; grows with every change of owner and fences the former owner's writes.
    SessionEpoch,
    /// Epoch of the core leader; every controller write carries it and an older one is refused.
    FencingEpoch,
    /// One run of a process; a restart has a higher one (microseconds since 1970 at its start).
    Incarnation,
    /// A node; drawn at random, kept in the data folder where there is one, else anew at each start.
    NodeId,
    /// Count of renewals of one lease; an expiry names the one that it judged.
    Renewal,
    /// Revision of the cluster view that a core hands out.
    Revision,
    /// Version number of a bundle.
    BundleVersion,
    /// Place of an event in its session's stream; the first is 1, 0 means "before all".
    EventSeq,
    /// A number of tokens.
    TokenCount,
    /// Milliseconds since 1970. Used for records and end times, never to compare clocks of machines for safety.
    UnixMillis,
}

impl UnixMillis {
    /// The wall clock now.
    #[must_use]
    pub fn now() -> Self {
        let since =
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        Self(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }

    /// This instant moved on by a span.
    #[must_use]
    pub fn plus(self, span: std::time::Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(span.as_millis()).unwrap_or(u64::MAX)))
    }

    /// This instant moved on by milliseconds.
    #[must_use]
    pub fn plus_millis(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }

    /// The span until a later instant, zero when it has passed.
    #[must_use]
    pub fn until(self, later: Self) -> std::time::Duration {
        std::time::Duration::from_millis(later.0.saturating_sub(self.0))
    }
}

impl Incarnation {
    /// The incarnation of a process that starts now.
    #[must_use]
    pub fn at_start() -> Self {
        let since =
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        Self(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
    }
}
