//! One loop, message by message.

use std::time::{Duration, Instant};

use hooklug_session::{
    Answer, ClientId, ClientItem, CommitId, Effect, ExitReason, GenerationId, LoadedSession,
    Message, ModelEnd, ModelEvent, Moment, ReplyId, Session, SessionConfig, SessionRefusal,
    SlotRefusal, SlotTicket, TurnRequest,
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
const KEEP: Duration = Duration::from_secs(600);

struct Bench {
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

impl Bench {
    fn new(budget: u64) -> Self {
        let mut shard = ShardMachine::new(KEEP);
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
        let session = Session::new(loaded, SessionConfig { unconnected_keep: KEEP }, start);
        Self { shard, session, start, now: start, lease_until: start + LEASE * 1_000 }
    }

    fn tell(&mut self, message: Message) -> Vec<Effect> {
        self.session.handle(message, Moment { now: self.now, lease_until: self.lease_until })
    }

    fn run(&mut self, client: u64, name: &str, max_tokens: u64) -> Vec<Effect> {
        let request = request(name, max_tokens, self.start + Duration::from_secs(60));
        self.tell(Message::RunTurn { client: ClientId(client), request, last_seen: EventSeq(0) })
    }

    /// Applies the one commit among some effects and tells the loop.
    fn commit(&mut self, effects: &[Effect]) -> Vec<Effect> {
        let (commit, command) = commit_in(effects).expect("a commit");
        let reply = self.shard.apply_command(command);
        self.tell(Message::Committed { commit, reply })
    }

    /// Brings a turn to the point where its model runs.
    fn open_turn(&mut self, name: &str, max_tokens: u64) -> GenerationId {
        let asked = self.run(1, name, max_tokens);
        let begin = self.tell(Message::SlotGranted { ticket: ticket_in(&asked) });
        let begun = self.commit(&begin);
        let generation = begun.iter().find_map(|e| match e {
            Effect::StartGeneration { generation, .. } => Some(*generation),
            _ => None,
        });
        generation.expect("a generation")
    }

    fn say(&mut self, generation: GenerationId, text: &str) -> Vec<Effect> {
        let event = ModelEvent::Text { text: text.to_owned(), tokens: TokenCount(1) };
        self.tell(Message::Model { generation, event })
    }
}

fn commit_in(effects: &[Effect]) -> Option<(CommitId, ShardCommand)> {
    effects.iter().find_map(|e| match e {
        Effect::Commit { commit, command } => Some((*commit, command.clone())),
        _ => None,
    })
}

fn ticket_in(effects: &[Effect]) -> SlotTicket {
    let ticket = effects.iter().find_map(|e| match e {
        Effect::RequestSlot { ticket, .. } => Some(*ticket),
        _ => None,
    });
    ticket.expect("a wish for a slot")
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
fn events_wait_for_their_commit_and_the_next_commit_carries_all_that_gathered() {
    let mut bench = Bench::new(100);
    let generation = bench.open_turn("t1", 10);
    let first = bench.say(generation, "a");
    assert_eq!(events_in(&first), []);
    for text in ["b", "c", "d"] {
        let effects = bench.say(generation, text);
        assert!(commit_in(&effects).is_none(), "one in flight at a time");
        assert_eq!(events_in(&effects), []);
    }
    let released = bench.commit(&first);
    assert_eq!(texts(&events_in(&released)), ["a"]);
    let Some((_, ShardCommand::AppendEvents { bodies, .. })) = commit_in(&released) else {
        panic!("{released:?}")
    };
    assert_eq!(bodies.len(), 3);
    let released = bench.commit(&released);
    assert_eq!(texts(&events_in(&released)), ["b", "c", "d"]);
}

#[test]
fn a_lost_answer_is_met_by_the_same_command() {
    let mut bench = Bench::new(100);
    let generation = bench.open_turn("t1", 10);
    let sent = bench.say(generation, "a");
    let (commit, command) = commit_in(&sent).unwrap();
    bench.shard.apply_command(command);
    let again = bench.tell(Message::CommitUncertain { commit });
    assert_eq!(commit_in(&again), commit_in(&sent));
    assert_eq!(texts(&events_in(&bench.commit(&again))), ["a"]);
}

#[test]
fn a_stale_epoch_ends_all_release_and_names_the_record() {
    let mut bench = Bench::new(100);
    let generation = bench.open_turn("t1", 10);
    let sent = bench.say(generation, "a");
    let (commit, command) = commit_in(&sent).unwrap();
    let record = SessionRecord {
        owner: Some(engine("e2")),
        epoch: SessionEpoch(9),
        ..bench.session.record().clone()
    };
    let refusal = ShardRefusal::StaleEpoch { record: Box::new(record.clone()) };
    let ended = bench.tell(Message::Committed { commit, reply: ShardReply::Refused(refusal) });
    let not_owner = SessionRefusal::NotOwner { record: Some(Box::new(record.clone())) };
    assert_eq!(refusals_in(&ended), std::slice::from_ref(&not_owner));
    assert!(ended.contains(&Effect::StopGeneration { generation }));
    assert!(ended.contains(&Effect::Ended(ExitReason::NotOwner(Some(Box::new(record))))));
    // A late answer and whatever else comes releases nothing.
    let reply = bench.shard.apply_command(command);
    assert_eq!(bench.tell(Message::Committed { commit, reply }), []);
    assert_eq!(bench.say(generation, "b"), []);
    assert_eq!(refusals_in(&bench.run(2, "t1", 10)), [not_owner]);
}

#[test]
fn a_lease_that_ran_out_stops_the_loop_before_the_message() {
    let mut bench = Bench::new(100);
    let generation = bench.open_turn("t1", 10);
    let sent = bench.say(generation, "a");
    let (commit, command) = commit_in(&sent).unwrap();
    let reply = bench.shard.apply_command(command);
    bench.now = bench.lease_until;
    let ended = bench.tell(Message::Committed { commit, reply });
    assert_eq!(events_in(&ended), []);
    assert_eq!(refusals_in(&ended), [SessionRefusal::LeaseLost]);
    assert!(ended.contains(&Effect::StopGeneration { generation }));
    assert_eq!(bench.session.ending(), Some(&ExitReason::LeaseLost));
}

#[test]
fn no_event_goes_beyond_the_reservation() {
    let mut bench = Bench::new(2);
    let generation = bench.open_turn("t1", 10);
    let first = bench.say(generation, "a");
    bench.say(generation, "b");
    let over = bench.say(generation, "c");
    assert!(over.contains(&Effect::StopGeneration { generation }));
    let released = bench.commit(&first);
    let finish = bench.commit(&released);
    let ended = bench.commit(&finish);
    let reason = EndReason::Failed { code: FailureCode::BudgetSpent };
    let body = EventBody::TurnEnded { reason, tokens: TokenCount(2) };
    assert_eq!(events_in(&ended).pop().map(|e| e.body), Some(body));
}

#[test]
fn output_of_another_generation_is_ignored() {
    let mut bench = Bench::new(100);
    let generation = bench.open_turn("t1", 10);
    let stray = GenerationId(generation.0 + 100);
    assert_eq!(bench.say(stray, "a"), []);
    let end = ModelEvent::End(ModelEnd::Stop);
    assert_eq!(bench.tell(Message::Model { generation: stray, event: end }), []);
    assert!(commit_in(&bench.say(generation, "a")).is_some());
}

#[test]
fn a_turn_without_a_slot_is_refused_at_once_and_leaves_no_trace() {
    let mut bench = Bench::new(100);
    let asked = bench.run(1, "t1", 10);
    let retry_after = Duration::from_millis(700);
    let refusal = SlotRefusal::Overloaded { retry_after };
    let refused = bench.tell(Message::SlotRefused { ticket: ticket_in(&asked), refusal });
    assert_eq!(refusals_in(&refused), [SessionRefusal::Overloaded { retry_after }]);
    assert!(commit_in(&refused).is_none());
    // The same turn may come again.
    let again = bench.run(2, "t1", 10);
    assert!(commit_in(&bench.tell(Message::SlotGranted { ticket: ticket_in(&again) })).is_some());
}

#[test]
fn a_waiting_turn_that_nobody_wants_any_more_gives_its_wish_back() {
    let mut bench = Bench::new(100);
    let asked = bench.run(1, "t1", 10);
    let ticket = ticket_in(&asked);
    let left = bench.tell(Message::Leave { client: ClientId(1) });
    assert!(left.contains(&Effect::ReleaseSlot { ticket }));
    assert_eq!(bench.tell(Message::SlotGranted { ticket }), [Effect::ReleaseSlot { ticket }]);
}

#[test]
fn an_abort_before_the_begin_is_on_record() {
    let mut bench = Bench::new(100);
    let asked = bench.run(1, "t1", 10);
    let abort = Message::Abort { reply: ReplyId(7), turn: "t1".parse().unwrap() };
    let begin = bench.tell(abort);
    assert!(begin.contains(&Effect::ReleaseSlot { ticket: ticket_in(&asked) }));
    let finish = bench.commit(&begin);
    assert!(!finish.iter().any(|e| matches!(e, Effect::StartGeneration { .. })));
    let ended = bench.commit(&finish);
    let answered = ended
        .iter()
        .any(|e| matches!(e, Effect::Reply { reply: ReplyId(7), answer: Ok(Answer::Turn(_)) }));
    assert!(answered, "{ended:?}");
}

#[test]
fn a_tool_result_resent_while_its_commit_is_in_flight_is_appended_once() {
    let mut bench = Bench::new(100);
    let told = |reply| Message::ToolResult {
        reply: ReplyId(reply),
        call: "c1".to_owned(),
        result: "21".to_owned(),
    };
    let sent = bench.tell(told(1));
    assert_eq!(bench.tell(told(2)), []);
    let done = bench.commit(&sent);
    let replied = done
        .iter()
        .filter(|e| matches!(e, Effect::Reply { answer: Ok(Answer::ToolResult(EventSeq(1))), .. }));
    assert_eq!(replied.count(), 2);
    assert!(commit_in(&done).is_none());
}

#[test]
fn a_session_without_clients_closes_itself() {
    let mut bench = Bench::new(100);
    let due = bench.session.next_wake().expect("a time");
    assert_eq!(due, bench.start + KEEP);
    bench.now = due - Duration::from_millis(1);
    assert_eq!(bench.tell(Message::Tick), []);
    bench.now = due;
    let closing = bench.tell(Message::Tick);
    let closed = bench.commit(&closing);
    assert!(closed.contains(&Effect::Ended(ExitReason::Closed)));
}

#[test]
fn a_hand_over_waits_for_the_turn_and_takes_no_new_one() {
    let mut bench = Bench::new(100);
    let generation = bench.open_turn("t1", 10);
    assert_eq!(bench.tell(Message::HandOver), []);
    let end = ModelEvent::End(ModelEnd::Stop);
    let finish = bench.tell(Message::Model { generation, event: end });
    let hand_over = bench.commit(&finish);
    assert!(matches!(commit_in(&hand_over), Some((_, ShardCommand::HandOver { .. }))));
    let refused = bench.run(2, "t2", 10);
    assert_eq!(refusals_in(&refused), [SessionRefusal::HandedOver]);
    assert!(bench.commit(&hand_over).contains(&Effect::Ended(ExitReason::HandedOver)));
}
