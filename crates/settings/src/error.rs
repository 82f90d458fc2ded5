//! What is wrong with a setting.

use std::fmt;

/// One fault of the settings: its key, what was found there and what is allowed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SettingFault {
    /// Key, dotted as in the file.
    pub key: String,
    /// The value found; a secret's is never shown.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
    /// Where the value came from; empty for a missing one.
    pub origin: String,
}

impl fmt::Display for SettingFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: found {}, allowed is {}", self.key, self.found, self.allowed)?;
        if self.origin.is_empty() { Ok(()) } else { write!(f, " (from {})", self.origin) }
    }
}

impl std::error::Error for SettingFault {}
