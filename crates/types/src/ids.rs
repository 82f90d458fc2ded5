//! Text identifiers chosen by callers and operators, one type per noun.
//!
//! Separate types keep a turn from ever being looked up by a call's name.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Longest accepted identifier, in bytes (ours).
pub const MAX_ID_BYTES: usize = 96;

/// Why a text is no identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum IdError {
    /// The text is empty.
    #[error("must not be empty")]
    Empty,
    /// The text is longer than [`MAX_ID_BYTES`].
    #[error("is {found} bytes long, at most {MAX_ID_BYTES} are allowed")]
    TooLong {
        /// Length found, in bytes.
        found: usize,
    },
    /// The text holds a character outside `A-Z a-z 0-9 . _ - :`.
    #[error("holds {found:?}; allowed are letters, digits, '.', '_', '-' and ':'")]
    BadCharacter {
        /// The first character that is not allowed.
        found: char,
    },
}

fn check(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(IdError::TooLong { found: text.len() });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | ':');
    match text.chars().find(|c| !allowed(*c)) {
        Some(found) => Err(IdError::BadCharacter { found }),
        None => Ok(()),
    }
}

macro_rules! text_ids {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Checks the text and makes it an identifier.
            ///
            /// # Errors
            /// [`IdError`] names what is wrong with the text.
            pub fn new(text: impl AsRef<str>) -> Result<Self, IdError> {
                check(text.as_ref())?;
                Ok(Self(text.as_ref().into()))
            }

            /// The identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;
            fn try_from(text: String) -> Result<Self, IdError> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0.as_ref().to_owned()
            }
        }

        impl FromStr for $name {
            type Err = IdError;
            fn from_str(text: &str) -> Result<Self, IdError> {
                Self::new(text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

text_ids! {
    /// An agent program: the shard key; all its sessions, turns and calls live in one shard.
    ProgramId,
    /// A session of a program: one line of turns with one owner.
    SessionId,
    /// One turn of a session, named by the caller, so that a resend is recognised.
    TurnId,
    /// One tool call of a program, named by the caller.
    CallId,
    /// One gateway's claim to dispatch a call; drawn at random by the gateway.
    CallAttempt,
    /// The customer that a program belongs to.
    TenantId,
    /// A service of the bundle: engines of one kind behind one name.
    ServiceName,
    /// A released version of a service.
    ServiceVersion,
    /// A model that a model service runs.
    ModelName,
    /// A route of the bundle.
    RouteName,
    /// A failure domain inside a region.
    ZoneName,
    /// A set of zones close to each other.
    RegionName,
    /// A group of programs that a window reserves slots for.
    WindowGroup,
    /// A window of the bundle.
    WindowName,
    /// A shared prompt prefix that a model server may hold in its cache.
    PrefixId,
    /// An operator who signs bundles.
    OperatorName,
    /// A back-end instance (session-host engine, model server or application engine) as the platform names it.
    EngineId,
}
