//! Limits: what a tenant may ask, what application engines can take, and what waits meanwhile.

pub mod adaptive;
pub mod baseline;
pub mod circuit;
pub mod queue;
pub mod tenants;
pub mod token_bucket;
