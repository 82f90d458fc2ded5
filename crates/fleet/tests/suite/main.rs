//! Tests of complete fleets: real processes that are killed, frozen, isolated, replaced and
//! restarted.
//!
//! All of them are one program, so that it is linked once and its fleets share the machine. Each
//! file covers one guarantee or kind of failure; `docs/TESTING.md` maps the files to the users'
//! requirements.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

mod support;

mod at_most_once_calls;
mod bundle_races;
mod bundle_spread;
mod combined_failures;
mod core_failures;
mod demo;
mod disk_soak;
mod durable_bundles;
mod engine_drain;
mod gapless_streams;
mod genuine_answers;
mod machine_operations;
mod parsing;
mod rolling_restart;
mod single_owner;
mod soak;
mod store_failures;
mod token_budget;
mod truthful_refusals;
mod turn_lookup;
mod version_harm;
