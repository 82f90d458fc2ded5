//! Parses bundles from JSON or TOML; errors name the path of the invalid value.

use serde::Deserializer;

use crate::Bundle;

/// Format of a bundle text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TextFormat {
    /// JSON.
    Json,
    /// TOML.
    Toml,
}

impl TextFormat {
    /// Guesses the format: JSON if the first non-whitespace character is `{`, otherwise TOML.
    #[must_use]
    pub fn guess(text: &str) -> Self {
        if text.trim_start().starts_with('{') { Self::Json } else { Self::Toml }
    }
}

/// Error of parsing a bundle.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {message}")]
pub struct ParseError {
    /// Path of the invalid value, or `.` for the complete text.
    pub path: String,
    /// Description of the error.
    pub message: String,
}

/// Parses a bundle from a text.
///
/// # Errors
/// The first error, with its path.
pub fn parse(text: &str, format: TextFormat) -> Result<Bundle, ParseError> {
    match format {
        TextFormat::Json => {
            let mut reader = serde_json::Deserializer::from_str(text);
            let bundle = deserialize_bundle(&mut reader)?;
            reader.end().map_err(|e| document_error(e.to_string()))?;
            crate::check_unique_keys(text.as_bytes())?;
            Ok(bundle)
        }
        TextFormat::Toml => {
            let reader = toml::Deserializer::parse(text)
                .map_err(|e| document_error(e.to_string().trim_end().to_owned()))?;
            deserialize_bundle(reader)
        }
    }
}

fn document_error(message: String) -> ParseError {
    ParseError { path: ".".to_owned(), message }
}

fn deserialize_bundle<'de, D: Deserializer<'de>>(reader: D) -> Result<Bundle, ParseError>
where
    D::Error: std::fmt::Display,
{
    serde_path_to_error::deserialize(reader).map_err(|e| ParseError {
        path: e.path().to_string(),
        message: e.inner().to_string().trim_end().to_owned(),
    })
}
