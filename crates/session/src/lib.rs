//! The event loop of a session (write-up, "Correctness"): typed messages in, effects out.
//!
//! A [`Session`] holds the committed history of one session and the clients connected to it. It
//! handles one [`Message`] at a time, never blocks, and returns [`Effect`]s for its driver to carry
//! out. Slow work (commits, generation, waiting for a slot) runs outside the loop, and its results
//! arrive as messages. No event is sent to a client before its commit is known, and once the loop
//! learns that it may no longer own the session, it never releases another event.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

mod attach;
#[cfg(feature = "broken-rules")]
mod broken_rules;
mod clients;
mod commit;
mod effect;
mod generation;
mod history;
mod message;
mod phase;
mod session;
mod turn;

pub use effect::{
    Answer, ClientItem, Effect, ExitReason, GenerationRequest, SessionRefusal, SlotRequest,
};
pub use message::{
    ClientId, CommitId, GenerationId, LookupId, Message, ModelEnd, ModelEvent, ReplyId,
    SlotRefusal, SlotRequestId, TurnRequest,
};
pub use session::{LoadedSession, LoopTime, Session, SessionConfig};
