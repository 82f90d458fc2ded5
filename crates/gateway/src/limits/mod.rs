//! Limits: what a tenant may ask, and what application engines can take.

pub mod tenants;
pub mod token_bucket;
