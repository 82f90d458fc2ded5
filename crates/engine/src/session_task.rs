//! The task that runs one session's loop: receives messages from a mailbox and applies the
//! effects that the session returns.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use hooklug_session::{
    Answer, ClientId, ClientItem, Effect, GenerationId, GenerationRequest, LookupId, LoopTime,
    Message, ModelEvent, ReplyId, Session, SessionRefusal, SlotRequestId,
};
use hooklug_state::shard::{ShardAnswer, ShardQuery};
use hooklug_types::{GroupId, SessionEpoch, SessionKey, TurnId};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;

use crate::admission::Ticket;
use crate::loader::group_of;
use crate::shard_writer::Submission;
use crate::shared::{STORE_TIMEOUT, Shared};

/// Capacity of one client's item queue. A client that falls further behind is disconnected and may
/// resume.
pub const CLIENT_QUEUE_ITEMS: usize = 256;

/// Input of a session's task.
#[derive(Debug)]
enum Envelope {
    /// A message without a reply.
    Message(Message),
    /// A message that connects a client and its stream.
    Client { client: ClientId, sink: mpsc::Sender<ClientItem>, message: Message },
    /// A message whose sender waits for the reply.
    Request {
        reply: ReplyId,
        answer: oneshot::Sender<Result<Answer, SessionRefusal>>,
        message: Message,
    },
}

/// Sending half of a session task's queue. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Mailbox {
    sender: mpsc::UnboundedSender<Envelope>,
}

impl Mailbox {
    /// Sends a message; it is discarded if the task has ended.
    pub fn send(&self, message: Message) {
        let _ = self.sender.send(Envelope::Message(message));
    }

    /// Connects a client; `None` if the task has ended.
    #[must_use]
    pub fn connect(
        &self,
        client: ClientId,
        message: Message,
    ) -> Option<mpsc::Receiver<ClientItem>> {
        let (sink, items) = mpsc::channel(CLIENT_QUEUE_ITEMS);
        self.sender.send(Envelope::Client { client, sink, message }).ok().map(|()| items)
    }

    /// Sends a message and waits for the reply; `None` if the task has ended.
    pub async fn request(
        &self,
        reply: ReplyId,
        message: Message,
    ) -> Option<Result<Answer, SessionRefusal>> {
        let (answer, receiver) = oneshot::channel();
        self.sender.send(Envelope::Request { reply, answer, message }).ok()?;
        receiver.await.ok()
    }

    /// Whether both send to the same task.
    #[must_use]
    pub fn same_channel_as(&self, other: &Self) -> bool {
        self.sender.same_channel(&other.sender)
    }
}

/// Starts the task of a session's loop. The session is added to the table before the task runs,
/// because a loop that ends at once removes itself from the table.
#[must_use]
pub fn start(shared: &Arc<Shared>, session: Session, epoch: SessionEpoch) -> Mailbox {
    let (sender, envelopes) = mpsc::unbounded_channel();
    let mailbox = Mailbox { sender };
    let task = SessionTask {
        group: group_of(session.key()),
        key: session.key().clone(),
        session,
        shared: shared.clone(),
        mailbox: mailbox.clone(),
        clients: HashMap::new(),
        waiting: HashMap::new(),
        generations: HashMap::new(),
        tickets: HashMap::new(),
    };
    shared.table.insert(task.key.clone(), epoch, mailbox.clone());
    tokio::spawn(task.run(envelopes));
    mailbox.send(Message::Tick);
    mailbox
}

struct SessionTask {
    key: SessionKey,
    group: GroupId,
    session: Session,
    shared: Arc<Shared>,
    mailbox: Mailbox,
    clients: HashMap<ClientId, mpsc::Sender<ClientItem>>,
    waiting: HashMap<ReplyId, oneshot::Sender<Result<Answer, SessionRefusal>>>,
    generations: HashMap<GenerationId, AbortHandle>,
    tickets: HashMap<SlotRequestId, Ticket>,
}

impl SessionTask {
    async fn run(mut self, mut envelopes: mpsc::UnboundedReceiver<Envelope>) {
        while self.session.exit_reason().is_none() {
            let deadline = self.session.next_deadline().map(tokio::time::Instant::from_std);
            let envelope = tokio::select! {
                envelope = envelopes.recv() => envelope,
                () = sleep_until_option(deadline) => Some(Envelope::Message(Message::Tick)),
            };
            let Some(envelope) = envelope else { break };
            // While the lease has run out but may still be renewed, no message is handled and so no
            // event is sent to a client.
            let (now, lease_until) = self.shared.lease.wait_until_decided().await;
            self.handle(envelope, loop_time(now, lease_until));
        }
        self.shared.table.remove(&self.key, &self.mailbox);
        // Refuses the messages that are still queued; the closed channel accepts no more.
        envelopes.close();
        while let Some(envelope) = envelopes.recv().await {
            let now = tokio::time::Instant::now();
            self.handle(envelope, loop_time(now, now));
        }
        for (_, ticket) in self.tickets.drain() {
            self.shared.slots.release(ticket);
        }
    }

    fn handle(&mut self, envelope: Envelope, time: LoopTime) {
        let message = match envelope {
            Envelope::Message(message) => message,
            Envelope::Client { client, sink, message } => {
                self.clients.insert(client, sink);
                message
            }
            Envelope::Request { reply, answer, message } => {
                self.waiting.insert(reply, answer);
                message
            }
        };
        if let Message::Leave { client } = message {
            self.clients.remove(&client);
        }
        if let Message::Model { generation, event } = &message
            && is_last(event)
        {
            self.generations.remove(generation);
        }
        let effects = self.session.handle(message, time);
        for effect in effects {
            self.apply(effect);
        }
    }

    fn apply(&mut self, effect: Effect) {
        match effect {
            Effect::Commit { commit, command } => {
                let submission = Submission { command, commit, mailbox: self.mailbox.clone() };
                self.shared.writers.submit(self.group, submission);
            }
            Effect::RequestSlot { ticket: request_id, request } => {
                let ticket = self.shared.slots.request(self.mailbox.clone(), request_id, request);
                self.tickets.insert(request_id, ticket);
            }
            Effect::ReleaseSlot { ticket: request_id } => {
                if let Some(ticket) = self.tickets.remove(&request_id) {
                    self.shared.slots.release(ticket);
                }
            }
            Effect::StartGeneration { generation, request } => self.generate(generation, request),
            Effect::StopGeneration { generation } => {
                if let Some(running) = self.generations.remove(&generation) {
                    running.abort();
                }
            }
            Effect::LookUpTurn { lookup, turn } => self.look_up_turn(lookup, turn),
            Effect::Send { client, item } => self.send(client, item),
            Effect::EndClient { client } => {
                self.clients.remove(&client);
            }
            Effect::Reply { reply, answer } => {
                if let Some(waiting) = self.waiting.remove(&reply) {
                    // The caller may no longer wait for the reply.
                    let _ = waiting.send(answer);
                }
            }
            Effect::Ended(exit_reason) => {
                tracing::debug!(session = %self.key, ?exit_reason, "session ended on this engine");
            }
        }
    }

    /// Sends an item to a client. A client whose queue is full is disconnected, so that it blocks
    /// neither the loop nor other clients.
    fn send(&mut self, client: ClientId, item: ClientItem) {
        let Some(sink) = self.clients.get(&client) else { return };
        if sink.try_send(item).is_err() {
            metrics::counter!("hooklug_slow_clients_cut").increment(1);
            self.clients.remove(&client);
            self.mailbox.send(Message::Leave { client });
        }
    }

    fn generate(&mut self, generation: GenerationId, request: Box<GenerationRequest>) {
        let (model, mailbox) = (self.shared.model.clone(), self.mailbox.clone());
        let running = tokio::spawn(async move {
            let on_event = |event| mailbox.send(Message::Model { generation, event });
            model.generate(&request, on_event).await;
        });
        self.generations.insert(generation, running.abort_handle());
    }

    fn look_up_turn(&self, lookup: LookupId, turn: TurnId) {
        let (shared, mailbox) = (self.shared.clone(), self.mailbox.clone());
        let (group, key) = (self.group, self.key.clone());
        tokio::spawn(async move {
            let query = ShardQuery::Turn { key, turn };
            let deadline = tokio::time::Instant::now() + STORE_TIMEOUT;
            let message = match shared.state.query_shard(group, &query, deadline).await {
                Ok(ShardAnswer::Turn(record)) => Message::LookupFinished { lookup, record },
                _ => Message::LookupFailed { lookup },
            };
            mailbox.send(message);
        });
    }
}

impl Drop for SessionTask {
    fn drop(&mut self) {
        for (_, generation) in self.generations.drain() {
            generation.abort();
        }
    }
}

fn loop_time(now: tokio::time::Instant, lease_until: tokio::time::Instant) -> LoopTime {
    LoopTime { now: now.into_std(), lease_until: lease_until.into_std() }
}

fn is_last(event: &ModelEvent) -> bool {
    matches!(event, ModelEvent::End(_) | ModelEvent::Failed(_) | ModelEvent::Truncated)
}

async fn sleep_until_option(instant: Option<tokio::time::Instant>) {
    match instant {
        Some(instant) => tokio::time::sleep_until(instant).await,
        None => std::future::pending().await,
    }
}

/// The current time of the monotonic clock that session loops use.
#[must_use]
pub fn loop_now() -> Instant {
    tokio::time::Instant::now().into_std()
}
