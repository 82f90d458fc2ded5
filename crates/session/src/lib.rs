//! The ordered loop of one session (write-up, "Correctness"): typed messages in, effects out.
//!
//! A [`Session`] keeps the committed history of one session and the clients connected to it. It
//! takes one [`Message`] at a time, never waits, and returns [`Effect`]s for its caller to carry
//! out. Slow work (commits, generation, waiting for a slot) runs outside and comes back as messages.
//! No event reaches a client before its commit is known, and once the loop learns that it may not
//! own the session any more it releases nothing for ever.

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
    Answer, ClientItem, Effect, Ending, GenerationRequest, SessionRefusal, SlotRequest,
};
pub use message::{
    ClientId, CommitId, GenerationId, LookUpId, Message, ModelEnd, ModelEvent, ReplyId,
    SlotRefusal, SlotTicket, TurnRequest,
};
pub use session::{LoadedSession, Moment, Session, SessionConfig};
