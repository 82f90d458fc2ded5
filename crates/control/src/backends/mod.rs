//! The platform's list of backends, read by the cores and followed by all gateways.
//!
//! Reading the list does not depend on the core leader, so neither its loss nor an election delays
//! the report of a draining backend. A gateway follows one core and switches to another when it
//! stops responding.

mod follower;
mod list;
mod reader;

pub use follower::{BackendFollower, BackendWatch};
pub use list::BackendList;
pub use reader::{BackendReader, BackendSource, SourceError};
