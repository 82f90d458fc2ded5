//! Validates a complete bundle and reports all errors at once, each with its path.

mod http;
mod routes;
mod services;
mod tenants;
mod windows;

use std::fmt;

use crate::Bundle;

/// An invalid value in a bundle.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ValidationError {
    /// Path of the invalid value, such as `routes.send-alarm.service`.
    pub path: String,
    /// Description of the error: the value found and the values allowed.
    pub message: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// Collects the errors of one validation.
#[derive(Debug, Default)]
struct ValidationErrors(Vec<ValidationError>);

impl ValidationErrors {
    fn add(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.0.push(ValidationError { path: path.into(), message: message.into() });
    }

    /// Adds an error unless the condition holds.
    fn require(&mut self, holds: bool, path: impl Into<String>, message: impl Into<String>) {
        if !holds {
            self.add(path, message);
        }
    }
}

/// Validates a bundle.
///
/// # Errors
/// All errors, in the order of the bundle's parts.
pub fn validate(bundle: &Bundle) -> Result<(), Vec<ValidationError>> {
    let mut errors = ValidationErrors::default();
    errors.require(
        bundle.version > bundle.base,
        "version",
        format!("is {}, must be higher than the base, {}", bundle.version, bundle.base),
    );
    services::check(bundle, &mut errors);
    routes::check(bundle, &mut errors);
    windows::check(bundle, &mut errors);
    tenants::check(bundle, &mut errors);
    http::check(bundle, &mut errors);
    if errors.0.is_empty() { Ok(()) } else { Err(errors.0) }
}
