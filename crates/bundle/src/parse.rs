//! Reading a bundle as operators write it; a fault names the path of the value at fault.

use serde::Deserializer;

use crate::Bundle;

/// How a text is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TextFormat {
    /// JSON.
    Json,
    /// TOML.
    Toml,
}

impl TextFormat {
    /// JSON when the first character that is not white space is `{`, else TOML.
    #[must_use]
    pub fn guess(text: &str) -> Self {
        if text.trim_start().starts_with('{') { Self::Json } else { Self::Toml }
    }
}

/// A text that is no bundle.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {message}")]
pub struct ParseError {
    /// Path of the value at fault, `.` for the whole.
    pub path: String,
    /// What is wrong.
    pub message: String,
}

/// Reads a bundle from a text.
///
/// # Errors
/// The first fault, with its path.
pub fn parse(text: &str, format: TextFormat) -> Result<Bundle, ParseError> {
    match format {
        TextFormat::Json => {
            let mut reader = serde_json::Deserializer::from_str(text);
            let bundle = read(&mut reader)?;
            reader.end().map_err(|e| whole(e.to_string()))?;
            crate::check_unique_keys(text.as_bytes())?;
            Ok(bundle)
        }
        TextFormat::Toml => {
            let reader = toml::Deserializer::parse(text)
                .map_err(|e| whole(e.to_string().trim_end().to_owned()))?;
            read(reader)
        }
    }
}

fn whole(message: String) -> ParseError {
    ParseError { path: ".".to_owned(), message }
}

fn read<'de, D: Deserializer<'de>>(reader: D) -> Result<Bundle, ParseError>
where
    D::Error: std::fmt::Display,
{
    serde_path_to_error::deserialize(reader).map_err(|e| ParseError {
        path: e.path().to_string(),
        message: e.inner().to_string().trim_end().to_owned(),
    })
}
