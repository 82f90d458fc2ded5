//! Every message between hooklug processes, in one place, so that both ends compile against one contract.
//!
//! Frames are postcard; these types therefore carry no serde tags, flattening or skipped fields.

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
