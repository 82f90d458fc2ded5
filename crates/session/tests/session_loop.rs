//! Tests of a single session loop, driven message by message.

use std::time::{Duration, Instant};

use hooklug_session::{
    Answer, ClientId, ClientItem, CommitId, Effect, ExitReason, GenerationId, LoadedSession,
    LoopTime, Message, ModelEnd, ModelEvent, ReplyId, Session, SessionConfig, SessionRefusal,
    SlotRefusal, SlotRequestId, TurnRequest,
};
use hooklug_state::shard::{
    Event, EventBody, OpenSession, PutProgram, SessionRecord, ShardCommand, ShardMachine,
    ShardRefusal, ShardReply,
};
use hooklug_types::{
    Digest, EndReason, EngineIncarnation, EventSeq, FailureCode, Incarnation, SessionEpoch,
    SessionKey, TokenCount, UnixMillis,
};

const LEASE: Duration = Duration::from_secs(3);
const IDLE_TIMEOUT: Duration = Duration::from_secs(600);

struct Harness {
    shard: ShardMachine,
    session: Session,
    start: Instant,
    now: Instant,
    lease_until: Instant,
}

fn key() -> SessionKey {
    SessionKey { program: "p1".parse().unwrap(), session: "s1".parse().unwrap() }
}

fn engine(name: &str) -> EngineIncarnation {
    EngineIncarnation { engine: name.parse().unwrap(), incarnation: Incarnation(1) }
}

fn request(name: &str, max_tokens: u64, deadline: Instant) -> TurnRequest {
    TurnRequest {
        turn: name.parse().unwrap(),
        after: None,
        input: "vent or heat?".to_owned(),
        max_tokens: TokenCount(max_tokens),
        digest: Digest::of(name.as_bytes()),
        tenant: "dalatek".parse().unwrap(),
        group: None,
        urgent: false,
        deadline,
    }
}

impl Harness {
    fn new(budget: u64) -> Self {
        let mut shard = ShardMachine::new(IDLE_TIMEOUT);
        shard.apply_command(ShardCommand::PutProgram(PutProgram {
            program: key().program,
            tenant: "dalatek".parse().unwrap(),
            group: None,
            token_budget: TokenCount(budget),
            end_time: UnixMillis(1_000_000),
        }));
        let opened = shard.apply_command(ShardCommand::OpenSession(OpenSession {
            key: key(),
            owner: engine("e1"),
            service: "advisor".parse().unwrap(),
            version: "v1".parse().unwrap(),
            prefix: None,
        }));
        let ShardReply::Session(record) = opened else { panic!("{opened:?}") };
        let start = Instant::now();
        let program_end = start + Duration::from_secs(1_000);
        let loaded = LoadedSession { record, history: Vec::new(), program_end };
        let session = Session::new(loaded, SessionConfig { idle_timeout: IDLE_TIMEOUT }, start);
        Self { shard, session, start, now: start, lease_until: start + LEASE * 1_000 }
    }

    fn send(&mut self, message: Message) -> Vec<Effect> {
        self.session.handle(message, LoopTime { now: self.now, lease_until: self.lease_until })
    }

    fn run(&mut self, client: u64, name: &str, max_tokens: u64) -> Vec<Effect> {
        let request = request(name, max_tokens, self.start + Duration::from_secs(60));
        self.send(Message::RunTurn { client: ClientId(client), request, last_seen: EventSeq(0) })
    }

    /// Applies the commit contained in some effects to the shard and delivers the reply to the
    /// loop.
    fn commit(&mut self, effects: &[Effect]) -> Vec<Effect> {
        let (commit, command) = commit_in(effects).expect("a commit");
        let reply = self.shard.apply_command(command);
        self.send(Message::Committed { commit, reply })
    }

    /// Runs a turn up to the start of its generation.
    fn open_turn(&mut self, name: &str, max_tokens: u64) -> GenerationId {
        let requested = self.run(1, name, max_tokens);
        let begin = self.send(Message::SlotGranted { ticket: ticket_in(&requested) });
        let begun = self.commit(&begin);
        let generation = begun.iter().find_map(|e| match e {
            Effect::StartGeneration { generation, .. } => Some(*generation),
            _ => None,
        });
        generation.expect("a generation")
    }

    fn generate(&mut self, generation: GenerationId, text: &str) -> Vec<Effect> {
        let event = ModelEvent::Text { text: text.to_owned(), tokens: TokenCount(1) };
        self.send(Message::Model { generation, event })
    }
}

fn commit_in(effects: &[Effect]) -> Option<(CommitId, ShardCommand)> {
    effects.iter().find_map(|e| match e {
        Effect::Commit { commit, command } => Some((*commit, command.clone())),
        _ => None,
    })
}

fn ticket_in(effects: &[Effect]) -> SlotRequestId {
    let ticket = effects.iter().find_map(|e| match e {
        Effect::RequestSlot { ticket, .. } => Some(*ticket),
        _ => None,
    });
    ticket.expect("a slot request")
}

fn events_in(effects: &[Effect]) -> Vec<Event> {
    let batches = effects.iter().filter_map(|e| match e {
        Effect::Send { item: ClientItem::Events(events), .. } => Some(events.clone()),
        _ => None,
    });
    batches.flatten().collect()
}

fn refusals_in(effects: &[Effect]) -> Vec<SessionRefusal> {
    let refusals = effects.iter().filter_map(|e| match e {
        Effect::Send { item: ClientItem::Refused(refusal), .. } => Some(refusal.clone()),
        _ => None,
    });
    refusals.collect()
}

fn texts(events: &[Event]) -> Vec<&str> {
    let texts = events.iter().filter_map(|e| match &e.body {
        EventBody::Tokens { text, .. } => Some(text.as_str()),
        _ => None,
    });
    texts.collect()
}

#[test]
fn events_are_released_after_commit_and_pending_events_share_the_next_commit() {
    let mut harness = Harness::new(100);
    let generation = harness.open_turn("t1", 10);
    let first = harness.generate(generation, "a");
    assert_eq!(events_in(&first), []);
    for text in ["b", "c", "d"] {
        let effects = harness.generate(generation, text);
        assert!(commit_in(&effects).is_none(), "one in flight at a time");
        assert_eq!(events_in(&effects), []);
    }
    let released = harness.commit(&first);
    assert_eq!(texts(&events_in(&released)), ["a"]);
    let Some((_, ShardCommand::AppendEvents { bodies, .. })) = commit_in(&released) else {
        panic!("{released:?}")
    };
    assert_eq!(bodies.len(), 3);
    let released = harness.commit(&released);
    assert_eq!(texts(&events_in(&released)), ["b", "c", "d"]);
}

#[test]
fn an_uncertain_commit_is_retried_with_the_same_command() {
    let mut harness = Harness::new(100);
    let generation = harness.open_turn("t1", 10);
    let sent = harness.generate(generation, "a");
    let (commit, command) = commit_in(&sent).unwrap();
    harness.shard.apply_command(command);
    let again = harness.send(Message::CommitUncertain { commit });
    assert_eq!(commit_in(&again), commit_in(&sent));
    assert_eq!(texts(&events_in(&harness.commit(&again))), ["a"]);
}

#[test]
fn a_stale_epoch_ends_the_session_loop_and_returns_the_current_record() {
    let mut harness = Harness::new(100);
    let generation = harness.open_turn("t1", 10);
    let sent = harness.generate(generation, "a");
    let (commit, command) = commit_in(&sent).unwrap();
    let record = SessionRecord {
        owner: Some(engine("e2")),
        epoch: SessionEpoch(9),
        ..harness.session.record().clone()
    };
    let refusal = ShardRefusal::StaleEpoch { record: Box::new(record.clone()) };
    let ended = harness.send(Message::Committed { commit, reply: ShardReply::Refused(refusal) });
    let not_owner = SessionRefusal::NotOwner { record: Some(Box::new(record.clone())) };
    assert_eq!(refusals_in(&ended), std::slice::from_ref(&not_owner));
    assert!(ended.contains(&Effect::StopGeneration { generation }));
    assert!(ended.contains(&Effect::Ended(ExitReason::NotOwner(Some(Box::new(record))))));
    // Neither a late reply nor any other message releases events.
    let reply = harness.shard.apply_command(command);
    assert_eq!(harness.send(Message::Committed { commit, reply }), []);
    assert_eq!(harness.generate(generation, "b"), []);
    assert_eq!(refusals_in(&harness.run(2, "t1", 10)), [not_owner]);
}

#[test]
fn an_expired_lease_ends_the_session_loop_before_processing_a_message() {
    let mut harness = Harness::new(100);
    let generation = harness.open_turn("t1", 10);
    let sent = harness.generate(generation, "a");
    let (commit, command) = commit_in(&sent).unwrap();
    let reply = harness.shard.apply_command(command);
    harness.now = harness.lease_until;
    let ended = harness.send(Message::Committed { commit, reply });
    assert_eq!(events_in(&ended), []);
    assert_eq!(refusals_in(&ended), [SessionRefusal::LeaseLost]);
    assert!(ended.contains(&Effect::StopGeneration { generation }));
    assert_eq!(harness.session.exit_reason(), Some(&ExitReason::LeaseLost));
}

#[test]
fn a_generation_stops_at_its_token_reservation() {
    let mut harness = Harness::new(2);
    let generation = harness.open_turn("t1", 10);
    let first = harness.generate(generation, "a");
    harness.generate(generation, "b");
    let over = harness.generate(generation, "c");
    assert!(over.contains(&Effect::StopGeneration { generation }));
    let released = harness.commit(&first);
    let finish = harness.commit(&released);
    let ended = harness.commit(&finish);
    let reason = EndReason::Failed { code: FailureCode::BudgetSpent };
    let body = EventBody::TurnEnded { reason, tokens: TokenCount(2) };
    assert_eq!(events_in(&ended).pop().map(|e| e.body), Some(body));
}

#[test]
fn output_of_another_generation_is_ignored() {
    let mut harness = Harness::new(100);
    let generation = harness.open_turn("t1", 10);
    let stray = GenerationId(generation.0 + 100);
    assert_eq!(harness.generate(stray, "a"), []);
    let end = ModelEvent::End(ModelEnd::Stop);
    assert_eq!(harness.send(Message::Model { generation: stray, event: end }), []);
    assert!(commit_in(&harness.generate(generation, "a")).is_some());
}

#[test]
fn a_turn_without_a_slot_is_refused_without_a_commit() {
    let mut harness = Harness::new(100);
    let requested = harness.run(1, "t1", 10);
    let retry_after = Duration::from_millis(700);
    let refusal = SlotRefusal::Overloaded { retry_after };
    let refused = harness.send(Message::SlotRefused { ticket: ticket_in(&requested), refusal });
    assert_eq!(refusals_in(&refused), [SessionRefusal::Overloaded { retry_after }]);
    assert!(commit_in(&refused).is_none());
    // The same turn may be requested again.
    let again = harness.run(2, "t1", 10);
    assert!(commit_in(&harness.send(Message::SlotGranted { ticket: ticket_in(&again) })).is_some());
}

#[test]
fn an_abandoned_waiting_turn_cancels_its_slot_request() {
    let mut harness = Harness::new(100);
    let requested = harness.run(1, "t1", 10);
    let ticket = ticket_in(&requested);
    let left = harness.send(Message::Leave { client: ClientId(1) });
    assert!(left.contains(&Effect::ReleaseSlot { ticket }));
    assert_eq!(harness.send(Message::SlotGranted { ticket }), [Effect::ReleaseSlot { ticket }]);
}

#[test]
fn an_abort_before_the_slot_grant_is_recorded() {
    let mut harness = Harness::new(100);
    let requested = harness.run(1, "t1", 10);
    let abort = Message::Abort { reply: ReplyId(7), turn: "t1".parse().unwrap() };
    let begin = harness.send(abort);
    assert!(begin.contains(&Effect::ReleaseSlot { ticket: ticket_in(&requested) }));
    let finish = harness.commit(&begin);
    assert!(!finish.iter().any(|e| matches!(e, Effect::StartGeneration { .. })));
    let ended = harness.commit(&finish);
    let answered = ended
        .iter()
        .any(|e| matches!(e, Effect::Reply { reply: ReplyId(7), answer: Ok(Answer::Turn(_)) }));
    assert!(answered, "{ended:?}");
}

#[test]
fn a_tool_result_resent_while_its_commit_is_in_flight_is_appended_once() {
    let mut harness = Harness::new(100);
    let tool_result = |reply| Message::ToolResult {
        reply: ReplyId(reply),
        call: "c1".to_owned(),
        result: "21".to_owned(),
    };
    let sent = harness.send(tool_result(1));
    assert_eq!(harness.send(tool_result(2)), []);
    let done = harness.commit(&sent);
    let replied = done
        .iter()
        .filter(|e| matches!(e, Effect::Reply { answer: Ok(Answer::ToolResult(EventSeq(1))), .. }));
    assert_eq!(replied.count(), 2);
    assert!(commit_in(&done).is_none());
}

#[test]
fn a_session_without_clients_closes_itself() {
    let mut harness = Harness::new(100);
    let due = harness.session.next_deadline().expect("a time");
    assert_eq!(due, harness.start + IDLE_TIMEOUT);
    harness.now = due - Duration::from_millis(1);
    assert_eq!(harness.send(Message::Tick), []);
    harness.now = due;
    let closing = harness.send(Message::Tick);
    let closed = harness.commit(&closing);
    assert!(closed.contains(&Effect::Ended(ExitReason::Closed)));
}

#[test]
fn a_hand_over_waits_for_the_open_turn_and_refuses_new_turns() {
    let mut harness = Harness::new(100);
    let generation = harness.open_turn("t1", 10);
    assert_eq!(harness.send(Message::HandOver), []);
    let end = ModelEvent::End(ModelEnd::Stop);
    let finish = harness.send(Message::Model { generation, event: end });
    let hand_over = harness.commit(&finish);
    assert!(matches!(commit_in(&hand_over), Some((_, ShardCommand::HandOver { .. }))));
    let refused = harness.run(2, "t2", 10);
    assert_eq!(refusals_in(&refused), [SessionRefusal::HandedOver]);
    assert!(harness.commit(&hand_over).contains(&Effect::Ended(ExitReason::HandedOver)));
}
