//! The platform's list of back ends, read by the cores and followed by all gateways.
//!
//! Each core reads the list by itself, so that neither the loss of the core leader nor an election holds news of a
//! draining back end up. A gateway follows one core and goes on to another when it falls silent.

mod follower;
mod list;
mod reader;

pub use follower::{BackendFollower, BackendWatch};
pub use list::BackendList;
pub use reader::{BackendReader, BackendSource, SourceError};
