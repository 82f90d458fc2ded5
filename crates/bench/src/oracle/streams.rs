//! Checks that streams neither lose, repeat nor mix events: ids have no gaps, and all clients
//! receive the same event under an id.

use std::collections::BTreeMap;

use hooklug_fleet::caller::{StreamEvent, Transcript};

use super::evidence::{Evidence, SessionRecord, TurnClaim, TurnRecord};
use super::{Promise, Verdict};

/// Checks the stream of each turn by itself.
pub(super) fn check_turns(evidence: &Evidence, verdict: &mut Verdict) {
    for turn in &evidence.turns {
        if turn.events.is_empty() {
            continue;
        }
        verdict.add_examined("streams of turns", 1);
        let subject = || format!("{}/{}", turn.session, turn.turn);
        if turn.ended_without_terminal {
            let detail = "a stream ended cleanly without a terminal event";
            verdict.add_violation(Promise::ExactStreams, subject(), detail);
        }
        if let Some(error) = find_stream_error(turn) {
            verdict.add_violation(Promise::ExactStreams, subject(), error);
        }
    }
}

fn find_stream_error(turn: &TurnRecord) -> Option<String> {
    if matches!(turn.claim, TurnClaim::Ended(_)) {
        let transcript = Transcript { events: turn.events.clone(), cuts: turn.cuts };
        return transcript.check(&turn.turn).err().map(|error| error.to_string());
    }
    // A stream that the caller stopped following has no terminal event, but must have no gap
    // either.
    let first = turn.events.first()?.id;
    let gap = turn.events.iter().zip(first..).find(|(event, expected)| event.id != *expected);
    gap.map(|(event, expected)| format!("event {} instead of event {expected}", event.id))
}

/// Checks that all clients of a session receive the same events, and that its history contains all
/// of them.
pub(super) fn check_sessions(evidence: &Evidence, verdict: &mut Verdict) {
    let mut turns: BTreeMap<&str, Vec<&TurnRecord>> = BTreeMap::new();
    for turn in &evidence.turns {
        turns.entry(&turn.session).or_default().push(turn);
    }
    for (name, session) in &evidence.sessions {
        let no_turns = Vec::new();
        let turns = turns.get(name.as_str()).unwrap_or(&no_turns);
        if let Some(error) = find_session_error(session, turns) {
            verdict.add_violation(Promise::ExactStreams, name, error);
        }
        verdict.add_examined("sessions read back whole", usize::from(session.history.is_some()));
        verdict.add_examined("streams of joined clients", session.joined.len());
    }
}

fn find_session_error(session: &SessionRecord, turns: &[&TurnRecord]) -> Option<String> {
    for joined in &session.joined {
        let gap = joined.windows(2).find(|pair| pair[1].id != pair[0].id + 1);
        if let Some(pair) = gap {
            return Some(format!(
                "a joined client received event {} after event {}",
                pair[1].id, pair[0].id
            ));
        }
    }
    let mut events_by_id: BTreeMap<u64, &StreamEvent> = BTreeMap::new();
    if let Some(history) = &session.history {
        let gap = history.iter().zip(1..).find(|(event, expected)| event.id != *expected);
        if let Some((event, expected)) = gap {
            return Some(format!(
                "the history contains event {} instead of event {expected}",
                event.id
            ));
        }
        events_by_id.extend(history.iter().map(|event| (event.id, event)));
    }
    let streams = turns.iter().map(|turn| &turn.events).chain(&session.joined);
    for event in streams.flatten() {
        let first = match events_by_id.get(&event.id) {
            Some(first) => first,
            None if session.history.is_some() => {
                return Some(format!("event {} was streamed, but is not in the history", event.id));
            }
            None => *events_by_id.entry(event.id).or_insert(event),
        };
        if first.event != event.event || first.data != event.data {
            return Some(format!("event {} was streamed as {first:?} and as {event:?}", event.id));
        }
    }
    None
}
