//! What replication needs of a state machine.

use hooklug_types::Digest;

/// Why bytes from a log or a snapshot could not be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MachineError {
    /// The bytes do not decode; the replica must stop, since it can no longer agree with the others.
    #[error("cannot decode {what}: {reason}")]
    Decode {
        /// What was decoded.
        what: &'static str,
        /// The decoder's words.
        reason: String,
    },
}

/// A copy of a state that gives the state's snapshot when called, in any thread. Making it is cheap, as it shares
/// what the machine does not change any more.
pub type FrozenState = Box<dyn FnOnce() -> Vec<u8> + Send>;

/// A deterministic state machine over encoded commands. No I/O, no clock, no randomness.
pub trait StateMachine: Send + 'static {
    /// Applies one encoded command and returns the encoded reply.
    ///
    /// # Errors
    /// Only when the command does not decode; a refusal is a reply.
    fn apply(&mut self, command: &[u8]) -> Result<Vec<u8>, MachineError>;

    /// Answers one encoded query from the state as it is; the caller sees to linearizability.
    ///
    /// # Errors
    /// Only when the query does not decode.
    fn query(&self, query: &[u8]) -> Result<Vec<u8>, MachineError>;

    /// The whole state, encoded.
    fn snapshot(&self) -> Vec<u8>;

    /// The state as it is now, to be encoded elsewhere: the bytes are those of [`StateMachine::snapshot`].
    fn freeze(&self) -> FrozenState;

    /// Replaces the state by a snapshot.
    ///
    /// # Errors
    /// When the snapshot does not decode; the state is then unchanged.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), MachineError>;

    /// Digest of the state; equal on all replicas after the same commands.
    fn digest(&self) -> Digest;
}

/// Encodes a command, query, reply or answer of a state machine.
#[must_use]
pub fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    // Plain data into a growing buffer: the encoder has no way to fail.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Decodes what [`encode`] made.
///
/// # Errors
/// When the bytes are something else.
pub fn decode<T: serde::de::DeserializeOwned>(
    what: &'static str,
    bytes: &[u8],
) -> Result<T, MachineError> {
    postcard::from_bytes(bytes).map_err(|e| MachineError::Decode { what, reason: e.to_string() })
}
