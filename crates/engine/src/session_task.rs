//! Runs one session's loop: messages in from a mailbox, effects carried out.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use hooklug_session::{
    Answer, ClientId, ClientItem, Effect, GenerationId, GenerationRequest, LookUpId, Message,
    ModelEvent, Moment, ReplyId, Session, SessionRefusal, SlotTicket,
};
use hooklug_state::shard::{ShardAnswer, ShardQuery};
use hooklug_types::{GroupId, SessionEpoch, SessionKey, TurnId};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;

use crate::admission::Ticket;
use crate::loader::group_of;
use crate::shard_writer::Submission;
use crate::shared::{STORE_TIME, Shared};

/// Items that may wait for one client (ours). One that falls further behind is cut and may resume.
pub const CLIENT_QUEUE_ITEMS: usize = 256;

/// Something for a session's task.
#[derive(Debug)]
enum Envelope {
    /// For the loop alone.
    Message(Message),
    /// From a client with its stream.
    Client { client: ClientId, sink: mpsc::Sender<ClientItem>, message: Message },
    /// From somebody who waits for an answer.
    Ask {
        reply: ReplyId,
        answer: oneshot::Sender<Result<Answer, SessionRefusal>>,
        message: Message,
    },
}

/// Where a session's task takes its messages. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Mailbox {
    sender: mpsc::UnboundedSender<Envelope>,
}

impl Mailbox {
    /// Puts a message in. When the task is gone the message has no meaning any more.
    pub fn tell(&self, message: Message) {
        let _ = self.sender.send(Envelope::Message(message));
    }

    /// Connects a client; `None` when the task is gone.
    #[must_use]
    pub fn connect(
        &self,
        client: ClientId,
        message: Message,
    ) -> Option<mpsc::Receiver<ClientItem>> {
        let (sink, items) = mpsc::channel(CLIENT_QUEUE_ITEMS);
        self.sender.send(Envelope::Client { client, sink, message }).ok().map(|()| items)
    }

    /// Asks something and waits for the answer; `None` when the task is gone.
    pub async fn ask(
        &self,
        reply: ReplyId,
        message: Message,
    ) -> Option<Result<Answer, SessionRefusal>> {
        let (answer, answered) = oneshot::channel();
        self.sender.send(Envelope::Ask { reply, answer, message }).ok()?;
        answered.await.ok()
    }

    /// Whether both lead to the same task.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.sender.same_channel(&other.sender)
    }
}

/// Starts the task of a session's loop, held under an epoch. It is in the table before it runs, since a
/// loop that ends at once takes itself out of it.
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
    mailbox.tell(Message::Tick);
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
    tickets: HashMap<SlotTicket, Ticket>,
}

impl SessionTask {
    async fn run(mut self, mut envelopes: mpsc::UnboundedReceiver<Envelope>) {
        while self.session.ending().is_none() {
            let wake = self.session.next_wake().map(tokio::time::Instant::from_std);
            let envelope = tokio::select! {
                envelope = envelopes.recv() => envelope,
                () = sleep_until_some(wake) => Some(Envelope::Message(Message::Tick)),
            };
            let Some(envelope) = envelope else { break };
            // Nothing is handled, and so nothing released, while the lease has run out and may be renewed yet.
            let (now, lease_until) = self.shared.lease.decided().await;
            self.take(envelope, moment(now, lease_until));
        }
        self.shared.table.remove(&self.key, &self.mailbox);
        // Those who came too late are refused; nobody can put more in.
        envelopes.close();
        while let Some(envelope) = envelopes.recv().await {
            let now = tokio::time::Instant::now();
            self.take(envelope, moment(now, now));
        }
        for (_, ticket) in self.tickets.drain() {
            self.shared.slots.release(ticket);
        }
    }

    fn take(&mut self, envelope: Envelope, moment: Moment) {
        let message = match envelope {
            Envelope::Message(message) => message,
            Envelope::Client { client, sink, message } => {
                self.clients.insert(client, sink);
                message
            }
            Envelope::Ask { reply, answer, message } => {
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
        let effects = self.session.handle(message, moment);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Commit { commit, command } => {
                let submission = Submission { command, commit, mailbox: self.mailbox.clone() };
                self.shared.writers.submit(self.group, submission);
            }
            Effect::RequestSlot { ticket, request } => {
                let slot = self.shared.slots.request(self.mailbox.clone(), ticket, request);
                self.tickets.insert(ticket, slot);
            }
            Effect::ReleaseSlot { ticket } => {
                if let Some(slot) = self.tickets.remove(&ticket) {
                    self.shared.slots.release(slot);
                }
            }
            Effect::StartGeneration { generation, request } => self.generate(generation, request),
            Effect::StopGeneration { generation } => {
                if let Some(running) = self.generations.remove(&generation) {
                    running.abort();
                }
            }
            Effect::LookUpTurn { look_up, turn } => self.look_up(look_up, turn),
            Effect::Send { client, item } => self.send(client, item),
            Effect::EndClient { client } => {
                self.clients.remove(&client);
            }
            Effect::Reply { reply, answer } => {
                if let Some(waiting) = self.waiting.remove(&reply) {
                    // Whoever asked may have given up.
                    let _ = waiting.send(answer);
                }
            }
            Effect::Ended(ending) => {
                tracing::debug!(session = %self.key, ?ending, "session left this engine");
            }
        }
    }

    /// A client whose queue is full is cut: it holds up neither the loop nor other clients.
    fn send(&mut self, client: ClientId, item: ClientItem) {
        let Some(sink) = self.clients.get(&client) else { return };
        if sink.try_send(item).is_err() {
            metrics::counter!("hooklug_slow_clients_cut").increment(1);
            self.clients.remove(&client);
            self.mailbox.tell(Message::Leave { client });
        }
    }

    fn generate(&mut self, generation: GenerationId, request: Box<GenerationRequest>) {
        let (model, mailbox) = (self.shared.model.clone(), self.mailbox.clone());
        let running = tokio::spawn(async move {
            let tell = |event| mailbox.tell(Message::Model { generation, event });
            model.generate(&request, tell).await;
        });
        self.generations.insert(generation, running.abort_handle());
    }

    fn look_up(&self, look_up: LookUpId, turn: TurnId) {
        let (shared, mailbox) = (self.shared.clone(), self.mailbox.clone());
        let (group, key) = (self.group, self.key.clone());
        tokio::spawn(async move {
            let query = ShardQuery::Turn { key, turn };
            let deadline = tokio::time::Instant::now() + STORE_TIME;
            let message = match shared.state.query_shard(group, &query, deadline).await {
                Ok(ShardAnswer::Turn(record)) => Message::TurnLookedUp { look_up, record },
                _ => Message::LookUpFailed { look_up },
            };
            mailbox.tell(message);
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

fn moment(now: tokio::time::Instant, lease_until: tokio::time::Instant) -> Moment {
    Moment { now: now.into_std(), lease_until: lease_until.into_std() }
}

fn is_last(event: &ModelEvent) -> bool {
    matches!(event, ModelEvent::End(_) | ModelEvent::Failed(_) | ModelEvent::Cut)
}

async fn sleep_until_some(instant: Option<tokio::time::Instant>) {
    match instant {
        Some(instant) => tokio::time::sleep_until(instant).await,
        None => std::future::pending().await,
    }
}

/// The process's monotonic clock as the loops see it.
#[must_use]
pub fn loop_now() -> Instant {
    tokio::time::Instant::now().into_std()
}
