//! The admission queue: order, load shedding and slot accounting.

use std::collections::BTreeMap;
use std::time::Duration;

use hooklug_protocol::control::SlotUsage;
use hooklug_types::{TenantId, UnixMillis, WindowGroup};

use super::Ticket;
use super::reserve::{Occupant, Reservations};
use super::windows::ReservedSpan;

/// Divisor of the number of slots that gives the slots reserved for urgent turns.
const URGENT_SLOT_DIVISOR: u32 = 8;

/// Divisor that gives the weight of the newest sample in the moving average of turn durations.
const DURATION_WEIGHT_DIVISOR: u64 = 8;

/// Divisor of the average turn duration that gives the least time a turn needs. Many turns are
/// shorter than the average, so only a turn with less than half of it left is shed.
const MIN_DURATION_DIVISOR: u64 = 2;

/// Shortest retry time returned with a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Longest retry time returned with a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Slot, queue and reservation limits of one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Maximum number of turns that run at the same time.
    pub slots: u32,
    /// Maximum number of turns that wait.
    pub queue: u32,
    /// Slots reserved for window groups.
    pub spans: Vec<ReservedSpan>,
}

/// The attributes of a turn that requests a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The tenant, for fairness between tenants.
    pub tenant: TenantId,
    /// The window group whose reserved slots the turn may use.
    pub group: Option<WindowGroup>,
    /// Whether the turn may use the slots reserved for urgent turns.
    pub urgent: bool,
    /// When the turn must have finished.
    pub deadline: UnixMillis,
}

/// Result of a slot request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The turn may run; the caller returns the slot with [`Admission::release`].
    Granted,
    /// The queue is full, or the turn can no longer finish before its deadline.
    Overloaded {
        /// Estimated time until a slot is free.
        retry_after: Duration,
    },
    /// The turn's deadline has passed.
    DeadlineExceeded,
}

/// The result of one slot request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// Ticket of the slot request.
    pub ticket: Ticket,
    /// Result of the slot request.
    pub outcome: Outcome,
}

#[derive(Debug, Clone)]
struct WaitingTurn {
    request: AdmissionRequest,
    occupant: Occupant,
}

#[derive(Debug, Clone)]
struct RunningTurn {
    tenant: TenantId,
    occupant: Occupant,
    since: UnixMillis,
}

/// Admission state of one engine: running turns, waiting turns and reservations.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    reservations: Reservations,
    queue: u32,
    running: BTreeMap<Ticket, RunningTurn>,
    waiting: BTreeMap<Ticket, WaitingTurn>,
    /// Moving average of turn durations in milliseconds; 0 before the first turn has finished.
    average_ms: u64,
}

impl Admission {
    /// Creates an admission with the given limits and no turns.
    #[must_use]
    pub fn new(limits: AdmissionLimits) -> Self {
        let mut admission = Self::default();
        admission.resize(limits);
        admission
    }

    /// Applies new limits; running turns keep their slots.
    pub fn resize(&mut self, limits: AdmissionLimits) {
        let urgent = limits.slots / URGENT_SLOT_DIVISOR;
        self.reservations = Reservations { slots: limits.slots, urgent, spans: limits.spans };
        self.queue = limits.queue;
    }

    /// Numbers of running and of waiting turns.
    #[must_use]
    pub fn load(&self) -> (u32, u32) {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        (count(self.running.len()), count(self.waiting.len()))
    }

    /// Reserved and running slots by group. Groups with neither are omitted.
    #[must_use]
    pub fn usage(&self, now: UnixMillis) -> Vec<SlotUsage> {
        let mut usage: BTreeMap<Option<WindowGroup>, (u32, u32)> = BTreeMap::new();
        for (group, reserved) in self.reservations.reserved_slots_at(now) {
            usage.entry(Some(group.clone())).or_default().0 = reserved;
        }
        for running in self.running.values() {
            usage.entry(running.occupant.group.clone()).or_default().1 += 1;
        }
        let to_slot_usage = |(group, (reserved, running))| SlotUsage { group, reserved, running };
        usage.into_iter().map(to_slot_usage).collect()
    }

    /// Requests a slot for a turn. The decisions may concern other turns too, such as one evicted
    /// from a full queue.
    pub fn request(
        &mut self,
        ticket: Ticket,
        request: AdmissionRequest,
        now: UnixMillis,
    ) -> Vec<Decision> {
        let occupant = Occupant {
            group: request.group.clone(),
            urgent: request.urgent,
            ends_by: request.deadline,
        };
        let mut decisions = self.shed(now);
        if request.deadline <= now {
            decisions.push(Decision { ticket, outcome: Outcome::DeadlineExceeded });
            return decisions;
        }
        self.waiting.insert(ticket, WaitingTurn { request, occupant });
        // A turn that finds a free slot runs even if it has less time left than the average turn
        // needs; otherwise the average could never fall again.
        decisions.extend(self.start_waiting(now));
        decisions.extend(self.shed(now));
        if self.waiting.len() > self.queue as usize {
            let retry_after = self.retry_after();
            if let Some(ticket) = self.eviction_candidate() {
                self.waiting.remove(&ticket);
                let outcome = Outcome::Overloaded { retry_after };
                decisions.push(Decision { ticket, outcome });
            }
        }
        decisions
    }

    /// Releases the slot of a finished turn, or withdraws a waiting request.
    pub fn release(&mut self, ticket: Ticket, now: UnixMillis) -> Vec<Decision> {
        self.waiting.remove(&ticket);
        if let Some(running) = self.running.remove(&ticket) {
            self.record_duration(running.since.until(now));
        }
        self.update(now)
    }

    /// Sheds waiting turns that can no longer finish before their deadline and starts those that may
    /// run now.
    pub fn update(&mut self, now: UnixMillis) -> Vec<Decision> {
        let mut decisions = self.shed(now);
        decisions.extend(self.start_waiting(now));
        decisions
    }

    fn start_waiting(&mut self, now: UnixMillis) -> Vec<Decision> {
        let mut decisions = Vec::new();
        while let Some(ticket) = self.next_to_run(now) {
            let Some(waiting) = self.waiting.remove(&ticket) else { break };
            let running = RunningTurn {
                tenant: waiting.request.tenant,
                occupant: waiting.occupant,
                since: now,
            };
            self.running.insert(ticket, running);
            decisions.push(Decision { ticket, outcome: Outcome::Granted });
        }
        decisions
    }

    /// When [`Admission::update`] is due next if no request or release happens before.
    #[must_use]
    pub fn next_update(&self, now: UnixMillis) -> Option<UnixMillis> {
        let min_time = self.min_turn_time();
        let shed_times = self.waiting.values().map(|w| {
            let by = UnixMillis(w.request.deadline.0.saturating_sub(millis(min_time)));
            by.max(now).plus(Duration::from_millis(1))
        });
        let spans = self.reservations.spans.iter().flat_map(|s| [s.start, s.end]);
        let boundaries = spans.filter(|at| *at > now && !self.waiting.is_empty());
        shed_times.chain(boundaries).min()
    }

    fn shed(&mut self, now: UnixMillis) -> Vec<Decision> {
        let min_time = self.min_turn_time();
        let retry_after = self.retry_after();
        let cannot_finish =
            |w: &WaitingTurn| now.plus(min_time) > w.request.deadline || w.request.deadline <= now;
        let shed: Vec<(Ticket, UnixMillis)> = self
            .waiting
            .iter()
            .filter(|(_, w)| cannot_finish(w))
            .map(|(t, w)| (*t, w.request.deadline))
            .collect();
        shed.into_iter()
            .map(|(ticket, deadline)| {
                self.waiting.remove(&ticket);
                let outcome = if deadline <= now {
                    Outcome::DeadlineExceeded
                } else {
                    Outcome::Overloaded { retry_after }
                };
                Decision { ticket, outcome }
            })
            .collect()
    }

    fn next_to_run(&self, now: UnixMillis) -> Option<Ticket> {
        if self.running.len() >= self.reservations.slots as usize {
            return None;
        }
        let running: Vec<&Occupant> = self.running.values().map(|r| &r.occupant).collect();
        let mut running_by_tenant: BTreeMap<&TenantId, usize> = BTreeMap::new();
        for turn in self.running.values() {
            *running_by_tenant.entry(&turn.tenant).or_default() += 1;
        }
        let order = |t: Ticket, w: &WaitingTurn| {
            let running_turns = running_by_tenant.get(&w.request.tenant).copied().unwrap_or(0);
            (!w.request.urgent, running_turns, w.request.deadline, t)
        };
        let mut candidates: Vec<_> = self.waiting.iter().map(|(t, w)| (order(*t, w), w)).collect();
        candidates.sort_by_key(|(order, _)| *order);
        let allowed = |w: &WaitingTurn| self.reservations.allow(&w.occupant, &running, now);
        candidates.into_iter().find(|(_, w)| allowed(w)).map(|((.., ticket), _)| ticket)
    }

    /// The waiting turn that a full queue evicts: the one with the latest deadline of the tenant with
    /// the most waiting turns. Urgent turns are evicted only when no others wait.
    fn eviction_candidate(&self) -> Option<Ticket> {
        let mut waiting_by_tenant: BTreeMap<&TenantId, usize> = BTreeMap::new();
        for waiting in self.waiting.values() {
            *waiting_by_tenant.entry(&waiting.request.tenant).or_default() += 1;
        }
        let eviction_key = |t: Ticket, w: &WaitingTurn| {
            let waiting_turns = waiting_by_tenant.get(&w.request.tenant).copied().unwrap_or(0);
            (!w.request.urgent, waiting_turns, w.request.deadline, t)
        };
        self.waiting.iter().map(|(t, w)| eviction_key(*t, w)).max().map(|(.., ticket)| ticket)
    }

    fn min_turn_time(&self) -> Duration {
        Duration::from_millis(self.average_ms / MIN_DURATION_DIVISOR)
    }

    /// Estimated time until the turns that wait now have run.
    fn retry_after(&self) -> Duration {
        let ahead = self.waiting.len() as u64 + 1;
        let slots = u64::from(self.reservations.slots.max(1));
        let wait = Duration::from_millis(ahead.saturating_mul(self.average_ms) / slots);
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    fn record_duration(&mut self, duration: Duration) {
        let sample = millis(duration);
        self.average_ms = if self.average_ms == 0 {
            sample
        } else {
            (self.average_ms * (DURATION_WEIGHT_DIVISOR - 1) + sample) / DURATION_WEIGHT_DIVISOR
        };
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
