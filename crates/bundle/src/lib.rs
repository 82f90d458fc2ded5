//! The versioned configuration bundle: services, routes, windows and tenants, as set by operators.
//!
//! A bundle is parsed and validated once. From then on it is transferred in canonical form with a
//! digest, so that two nodes with the same version have the same content.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

mod canonical;
mod diff;
pub mod http;
mod http_sections;
pub mod model;
mod parse;
mod signature;
mod tenants;
mod unique_keys;
mod validate;

pub use canonical::{
    BundleHeader, DecodeError, ROUTES_SECTION, canonical_bytes, decode, digest, from_sections,
    section_digests, sections, tenant_section, with_sections,
};
pub use http_sections::is_document_section;

pub use diff::{BundleChange, diff};

pub use model::{
    Bundle, HarmThresholds, Route, RouteMatch, Service, ServiceKind, Tenant, TenantLimits,
    VersionEntry, VersionState, Window,
};
pub use parse::{ParseError, TextFormat, parse};
pub use signature::{KeyPair, SignatureError, check_public_key, generate_key_pair, sign, verify};
pub use tenants::TenantTable;
pub use unique_keys::check_unique_keys;
pub use validate::{ValidationError, validate};
