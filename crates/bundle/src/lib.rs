//! The versioned bundle: everything that operators decide, in one value.
//!
//! A bundle is parsed once, checked as a whole, and from then on carried as canonical bytes with a
//! digest, so that two nodes with the same version hold the same content.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod model;

pub use model::{
    Bundle, HarmThresholds, Route, RouteMatch, Service, ServiceKind, Tenant, TenantLimits,
    VersionEntry, VersionState, Window,
};
