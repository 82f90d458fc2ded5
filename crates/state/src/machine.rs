//! The interface between replication and the state machines.

use hooklug_types::Digest;

/// Error of a state machine that cannot use bytes from a log, a query or a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MachineError {
    /// The bytes do not decode. For a log entry or a snapshot, the replica must stop, since its
    /// state would diverge from the other replicas.
    #[error("cannot decode {what}: {reason}")]
    Decode {
        /// The kind of value that was being decoded.
        what: &'static str,
        /// The decoder's error message.
        reason: String,
    },
}

/// A point-in-time copy of a state machine's state. Calling it, on any thread, encodes the
/// snapshot. Creating it is cheap, because it shares data with the machine copy-on-write.
pub type FrozenState = Box<dyn FnOnce() -> Vec<u8> + Send>;

/// A deterministic state machine over encoded commands, without I/O, clock or randomness.
pub trait StateMachine: Send + 'static {
    /// Applies one encoded command and returns the encoded reply.
    ///
    /// # Errors
    /// Only if the command does not decode; a refusal is a reply.
    fn apply(&mut self, command: &[u8]) -> Result<Vec<u8>, MachineError>;

    /// Answers one encoded query from the current state. The caller is responsible for
    /// linearizability.
    ///
    /// # Errors
    /// Only if the query does not decode.
    fn query(&self, query: &[u8]) -> Result<Vec<u8>, MachineError>;

    /// Returns the encoded state.
    fn snapshot(&self) -> Vec<u8>;

    /// Returns a copy of the current state that can be encoded on another thread. The encoded bytes
    /// are those that [`StateMachine::snapshot`] would return now.
    fn freeze(&self) -> FrozenState;

    /// Replaces the state with a snapshot.
    ///
    /// # Errors
    /// If the snapshot does not decode; the state is then unchanged.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), MachineError>;

    /// Returns the digest of the state, which is equal on all replicas after the same commands.
    fn digest(&self) -> Digest;
}

/// Encodes a command, a query or a reply of a state machine.
#[must_use]
pub fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    // Encoding plain data into a growable buffer cannot fail.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Decodes a value that was encoded with [`encode`].
///
/// # Errors
/// If the bytes do not decode as a `T`.
pub fn decode<T: serde::de::DeserializeOwned>(
    what: &'static str,
    bytes: &[u8],
) -> Result<T, MachineError> {
    postcard::from_bytes(bytes).map_err(|e| MachineError::Decode { what, reason: e.to_string() })
}

/// Decodes a value from the start of some bytes; returns it with the bytes after it.
///
/// # Errors
/// If the bytes do not start with a `T`.
pub(crate) fn decode_prefix<'a, T: serde::de::DeserializeOwned>(
    what: &'static str,
    bytes: &'a [u8],
) -> Result<(T, &'a [u8]), MachineError> {
    postcard::take_from_bytes(bytes)
        .map_err(|e| MachineError::Decode { what, reason: e.to_string() })
}
