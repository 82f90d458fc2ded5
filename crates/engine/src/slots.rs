//! Admission at work: sessions' wishes for slots in, decisions back to the sessions.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hooklug_protocol::control::SlotUse;
use hooklug_session::{Message, SlotRefusal, SlotRequest, SlotTicket};
use hooklug_types::UnixMillis;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::admission::{Admission, AdmissionLimits, Decision, Outcome, Ticket, TurnAsk};
use crate::session_task::Mailbox;

/// Share of the retry time that is added at random (ours), so that refused callers do not return together.
const RETRY_JITTER: f64 = 0.5;

/// Longest sleep between looks at the queue (ours).
const LONGEST_SLEEP: Duration = Duration::from_secs(1);

/// The engine's slots.
#[derive(Debug)]
pub struct Slots {
    desk: Mutex<Desk>,
    changed: Notify,
    last_ticket: AtomicU64,
}

#[derive(Debug)]
struct Desk {
    admission: Admission,
    waiting: BTreeMap<Ticket, (Mailbox, SlotTicket)>,
}

impl Slots {
    /// Slots with the given sizes.
    #[must_use]
    pub fn new(limits: AdmissionLimits) -> Self {
        let desk = Desk { admission: Admission::new(limits), waiting: BTreeMap::new() };
        Self { desk: Mutex::new(desk), changed: Notify::new(), last_ticket: AtomicU64::new(0) }
    }

    /// Takes new sizes.
    pub fn resize(&self, limits: AdmissionLimits) {
        let mut desk = self.lock();
        desk.admission.resize(limits);
        let decisions = desk.admission.settle(UnixMillis::now());
        desk.tell(decisions);
    }

    /// A session asks for a slot; it is answered by a message. Returns the ticket to release it with.
    pub fn request(&self, mailbox: Mailbox, wish: SlotTicket, request: SlotRequest) -> Ticket {
        let ticket = Ticket(self.last_ticket.fetch_add(1, Ordering::Relaxed));
        let now = UnixMillis::now();
        let left = request.deadline.saturating_duration_since(std::time::Instant::now());
        let ask = TurnAsk {
            tenant: request.tenant,
            group: request.group,
            urgent: request.urgent,
            deadline: now.plus(left),
        };
        let mut desk = self.lock();
        desk.waiting.insert(ticket, (mailbox, wish));
        let decisions = desk.admission.request(ticket, ask, now);
        desk.tell(decisions);
        self.changed.notify_one();
        ticket
    }

    /// Gives a slot, or the wish for one, back.
    pub fn release(&self, ticket: Ticket) {
        let mut desk = self.lock();
        desk.waiting.remove(&ticket);
        let decisions = desk.admission.release(ticket, UnixMillis::now());
        desk.tell(decisions);
    }

    /// Turns running and waiting.
    #[must_use]
    pub fn load(&self) -> (u32, u32) {
        self.lock().admission.load()
    }

    /// How the slots are used now, by group.
    #[must_use]
    pub fn uses(&self) -> Vec<SlotUse> {
        self.lock().admission.uses(UnixMillis::now())
    }

    /// Gives up waiting turns in time, until stopped.
    pub async fn run(&self, stop: CancellationToken) {
        loop {
            let now = UnixMillis::now();
            let next = {
                let mut desk = self.lock();
                let decisions = desk.admission.settle(now);
                desk.tell(decisions);
                desk.admission.next_settle(now)
            };
            let pause = next.map_or(LONGEST_SLEEP, |at| now.until(at)).min(LONGEST_SLEEP);
            tokio::select! {
                () = stop.cancelled() => return,
                () = self.changed.notified() => {}
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Desk> {
        self.desk.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Desk {
    fn tell(&mut self, decisions: Vec<Decision>) {
        for Decision { ticket, outcome } in decisions {
            let Some((mailbox, ticket)) = self.waiting.remove(&ticket) else { continue };
            let message = match outcome {
                Outcome::Granted => Message::SlotGranted { ticket },
                Outcome::Overloaded { retry_after } => {
                    let retry_after =
                        retry_after.mul_f64(1.0 + RETRY_JITTER * rand::random::<f64>());
                    Message::SlotRefused {
                        ticket,
                        refusal: SlotRefusal::Overloaded { retry_after },
                    }
                }
                Outcome::DeadlineExceeded => {
                    Message::SlotRefused { ticket, refusal: SlotRefusal::DeadlineExceeded }
                }
            };
            mailbox.tell(message);
        }
    }
}
