//! Checks a bundle as a whole and reports every fault at once, each with its path.

mod http;
mod routes;
mod services;
mod tenants;
mod windows;

use std::fmt;

use crate::Bundle;

/// One fault of a bundle.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct BundleFault {
    /// Path of the value at fault, such as `routes.send-alarm.service`.
    pub path: String,
    /// What is wrong: the value found and what is allowed.
    pub message: String,
}

impl fmt::Display for BundleFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// Gathers faults.
#[derive(Debug, Default)]
struct Faults(Vec<BundleFault>);

impl Faults {
    fn add(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.0.push(BundleFault { path: path.into(), message: message.into() });
    }

    /// Adds a fault unless the condition holds.
    fn require(&mut self, holds: bool, path: impl Into<String>, message: impl Into<String>) {
        if !holds {
            self.add(path, message);
        }
    }
}

/// Checks a bundle.
///
/// # Errors
/// Every fault, in the order of the bundle's parts.
pub fn validate(bundle: &Bundle) -> Result<(), Vec<BundleFault>> {
    let mut faults = Faults::default();
    faults.require(
        bundle.version > bundle.base,
        "version",
        format!("is {}, must be higher than the base, {}", bundle.version, bundle.base),
    );
    services::check(bundle, &mut faults);
    routes::check(bundle, &mut faults);
    windows::check(bundle, &mut faults);
    tenants::check(bundle, &mut faults);
    http::check(bundle, &mut faults);
    if faults.0.is_empty() { Ok(()) } else { Err(faults.0) }
}
