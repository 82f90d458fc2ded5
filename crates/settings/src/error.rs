//! Error type for invalid or missing settings.

use std::fmt;

/// An invalid or missing setting: its key, the value found and the values allowed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SettingError {
    /// Dotted key, as in the settings file.
    pub key: String,
    /// The value found, formatted; a secret is replaced by its length.
    pub found: String,
    /// Description of the allowed values.
    pub allowed: String,
    /// Source of the value (file, variables or flags); empty for a missing one.
    pub origin: String,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: found {}, allowed is {}", self.key, self.found, self.allowed)?;
        if self.origin.is_empty() { Ok(()) } else { write!(f, " (from {})", self.origin) }
    }
}

impl std::error::Error for SettingError {}
