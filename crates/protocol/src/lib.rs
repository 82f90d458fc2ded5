//! All messages between hooklug processes, shared so that both sides compile against the same
//! definitions.
//!
//! Frames are encoded with postcard, so these types use no serde tags, flattening or skipped
//! fields.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod backends;
pub mod control;
pub mod copy_on_write;
pub mod engine;
pub mod member_map;
pub mod request;
pub mod store;

pub use request::{Method, Request, StreamRequest};
