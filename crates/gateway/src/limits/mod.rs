//! Limits: tenant rate and concurrency, adaptive engine concurrency, circuit breaking and request
//! queues.

pub mod adaptive;
pub mod baseline;
pub mod circuit;
pub mod queue;
pub mod tenants;
pub mod token_bucket;
