//! Helpers that send callers' requests.

use std::time::Duration;

use hooklug_fleet::caller::{CallRequest, SessionRef, SessionView, Transcript, TurnRequest};
use hooklug_fleet::{Caller, Fleet, ProcessKind, ProcessName};
use hooklug_types::UnixMillis;
use serde_json::json;

use super::{MODEL, TENANT};

pub fn caller(fleet: &Fleet) -> Caller {
    Caller::new(fleet.gateways(), TENANT)
}

/// Declares a program that ends in an hour.
pub async fn put_program(caller: &Caller, program: &str, budget: u64) {
    let end = UnixMillis::now().plus(Duration::from_secs(3_600));
    caller.put_program(0, program, budget, end.0).await.unwrap();
}

pub async fn open(caller: &Caller, program: &str, session: &str) -> SessionRef {
    let session = SessionRef::new(program, session);
    caller.open_session(0, &session, MODEL, None).await.unwrap();
    session
}

/// Returns the engine that owns a session.
pub async fn owner(fleet: &Fleet, caller: &Caller, session: &SessionRef) -> ProcessName {
    let view: SessionView = caller.session(0, session).await.unwrap();
    let owner = view.owner.unwrap();
    let engines = fleet.names(ProcessKind::Engine);
    engines.into_iter().find(|engine| engine.id() == owner).unwrap()
}

/// Creates a non-repeatable call.
pub fn alarm(house: u64) -> CallRequest {
    CallRequest::new("send_alarm", json!({"house": house}))
}

/// Runs a turn and asserts that it ends `finished`.
pub async fn finish(caller: &Caller, session: &SessionRef, turn: &TurnRequest) -> Transcript {
    let transcript = caller.run_turn(0, session, turn).await.unwrap();
    transcript.check(&turn.turn).unwrap();
    assert_eq!(transcript.end(), "finished", "{transcript:?}");
    transcript
}
