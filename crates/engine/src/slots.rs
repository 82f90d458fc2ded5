//! Shared admission state: passes the slot requests of sessions to [`Admission`] and sends the
//! decisions to their mailboxes.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hooklug_protocol::control::SlotUsage;
use hooklug_session::{Message, SlotRefusal, SlotRequest, SlotRequestId};
use hooklug_types::UnixMillis;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::admission::{Admission, AdmissionLimits, AdmissionRequest, Decision, Outcome, Ticket};
use crate::session_task::Mailbox;

/// Largest random addition to the retry time, as a fraction of it, so that refused callers do not
/// retry at the same time.
const RETRY_JITTER: f64 = 0.5;

/// Longest pause between updates of the admission queue.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// The engine's slots, shared by all sessions.
#[derive(Debug)]
pub struct Slots {
    state: Mutex<SlotState>,
    changed: Notify,
    last_ticket: AtomicU64,
}

#[derive(Debug)]
struct SlotState {
    admission: Admission,
    waiting: BTreeMap<Ticket, (Mailbox, SlotRequestId)>,
}

impl Slots {
    /// Creates the slots with the given limits.
    #[must_use]
    pub fn new(limits: AdmissionLimits) -> Self {
        let state = SlotState { admission: Admission::new(limits), waiting: BTreeMap::new() };
        Self { state: Mutex::new(state), changed: Notify::new(), last_ticket: AtomicU64::new(0) }
    }

    /// Applies new limits; running turns keep their slots.
    pub fn resize(&self, limits: AdmissionLimits) {
        let mut state = self.lock();
        state.admission.resize(limits);
        let decisions = state.admission.update(UnixMillis::now());
        state.send_decisions(decisions);
    }

    /// Requests a slot for a session, which receives the decision as a message. Returns the ticket that
    /// releases the slot.
    pub fn request(
        &self,
        mailbox: Mailbox,
        request_id: SlotRequestId,
        request: SlotRequest,
    ) -> Ticket {
        let ticket = Ticket(self.last_ticket.fetch_add(1, Ordering::Relaxed));
        let now = UnixMillis::now();
        let left = request.deadline.saturating_duration_since(std::time::Instant::now());
        let admission_request = AdmissionRequest {
            tenant: request.tenant,
            group: request.group,
            urgent: request.urgent,
            deadline: now.plus(left),
        };
        let mut state = self.lock();
        state.waiting.insert(ticket, (mailbox, request_id));
        let decisions = state.admission.request(ticket, admission_request, now);
        state.send_decisions(decisions);
        self.changed.notify_one();
        ticket
    }

    /// Releases a slot or withdraws a waiting request.
    pub fn release(&self, ticket: Ticket) {
        let mut state = self.lock();
        state.waiting.remove(&ticket);
        let decisions = state.admission.release(ticket, UnixMillis::now());
        state.send_decisions(decisions);
    }

    /// Numbers of running and of waiting turns.
    #[must_use]
    pub fn load(&self) -> (u32, u32) {
        self.lock().admission.load()
    }

    /// Reserved and running slots by group.
    #[must_use]
    pub fn usage(&self) -> Vec<SlotUsage> {
        self.lock().admission.usage(UnixMillis::now())
    }

    /// Updates the admission queue when it is due, until stopped.
    pub async fn run(&self, stop: CancellationToken) {
        loop {
            let now = UnixMillis::now();
            let next = {
                let mut state = self.lock();
                let decisions = state.admission.update(now);
                state.send_decisions(decisions);
                state.admission.next_update(now)
            };
            let pause = next.map_or(MAX_PAUSE, |at| now.until(at)).min(MAX_PAUSE);
            tokio::select! {
                () = stop.cancelled() => return,
                () = self.changed.notified() => {}
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, SlotState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SlotState {
    fn send_decisions(&mut self, decisions: Vec<Decision>) {
        for Decision { ticket, outcome } in decisions {
            let Some((mailbox, request_id)) = self.waiting.remove(&ticket) else { continue };
            let message = match outcome {
                Outcome::Granted => Message::SlotGranted { ticket: request_id },
                Outcome::Overloaded { retry_after } => {
                    let retry_after =
                        retry_after.mul_f64(1.0 + RETRY_JITTER * rand::random::<f64>());
                    Message::SlotRefused {
                        ticket: request_id,
                        refusal: SlotRefusal::Overloaded { retry_after },
                    }
                }
                Outcome::DeadlineExceeded => Message::SlotRefused {
                    ticket: request_id,
                    refusal: SlotRefusal::DeadlineExceeded,
                },
            };
            mailbox.send(message);
        }
    }
}
