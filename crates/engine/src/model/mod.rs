//! The client of the engine's model server (docs/BACKENDS.md).
//!
//! Nothing a server says is believed before it has proven whose it is: each new connection asks for
//! the identity, each answer echoes the request's id and the expected identity, counts its lines and
//! ends with an end line.

mod answer;
mod connection;
mod generate;
mod identity;
mod probe;
mod request;

pub use answer::{AnswerCheck, Garbled};
pub use connection::{ConnectError, ModelConnection};
pub use generate::ModelClient;
pub use identity::{BackendIdentity, BackendKind, ServerStatus};
pub use probe::{ModelHealth, ModelProbe};
