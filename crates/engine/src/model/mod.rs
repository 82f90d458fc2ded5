//! Client of the engine's model server (docs/BACKENDS.md).
//!
//! Responses are accepted only from a verified server: each new connection first reads the server's
//! identity. Each response echoes the request id and the expected identity, numbers its lines and
//! ends with an end line that counts them.

mod connection;
mod generate;
mod identity;
mod probe;
mod request;
mod response;

pub use connection::{ConnectError, ModelConnection};
pub use generate::ModelClient;
pub use identity::{BackendIdentity, BackendKind, ServerStatus};
pub use probe::{ModelHealth, ModelProbe};
pub use response::{InvalidResponse, ResponseValidator};
