//! Text identifiers chosen by callers and operators, one type per kind of object.
//!
//! Separate types prevent mistakes such as looking up a turn by a call id.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Maximum length of an identifier, in bytes.
pub const MAX_ID_BYTES: usize = 96;

/// The reason why a text is not a valid identifier.
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
    /// The text contains a character outside `A-Z a-z 0-9 . _ - :`.
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
            /// Validates the text and creates an identifier.
            ///
            /// # Errors
            /// [`IdError`] if the text is empty, too long or contains a character that is not allowed.
            pub fn new(text: impl AsRef<str>) -> Result<Self, IdError> {
                check(text.as_ref())?;
                Ok(Self(text.as_ref().into()))
            }

            /// Returns the identifier as text.
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
    /// An agent program. Its id is the shard key: all its sessions, turns and calls are stored in
    /// one shard.
    ProgramId,
    /// A session of a program: a sequence of turns with a single owner.
    SessionId,
    /// One turn of a session. The caller chooses the id, so that a resend is recognised.
    TurnId,
    /// One tool call of a program. The caller chooses the id.
    CallId,
    /// One attempt by a gateway to dispatch a call. The gateway chooses the id at random.
    CallAttempt,
    /// The tenant that a program belongs to.
    TenantId,
    /// A service defined in the bundle: a set of engines of the same kind.
    ServiceName,
    /// A released version of a service.
    ServiceVersion,
    /// A model served by a model service.
    ModelName,
    /// A route defined in the bundle.
    RouteName,
    /// A failure domain within a region.
    ZoneName,
    /// A set of zones that are close to each other.
    RegionName,
    /// A group of programs that a window reserves slots for.
    WindowGroup,
    /// A window defined in the bundle.
    WindowName,
    /// A shared prompt prefix that a model server may have cached.
    PrefixId,
    /// An operator who signs bundles.
    OperatorName,
    /// A backend instance (session-host engine, model server or application engine), as named by
    /// the platform.
    EngineId,
}
