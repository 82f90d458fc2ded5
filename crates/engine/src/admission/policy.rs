//! The queue and its order.

use std::collections::BTreeMap;
use std::time::Duration;

use hooklug_protocol::control::SlotUse;
use hooklug_types::{TenantId, UnixMillis, WindowGroup};

use super::Ticket;
use super::reserve::{Occupant, Reservations};
use super::windows::ReservedSpan;

/// One slot in so many is kept for urgent turns (ours).
const URGENT_SHARE: u32 = 8;

/// Weight of the newest sample in the moving average of turns' durations: one in so many (ours).
const DURATION_WEIGHT: u64 = 8;

/// Part of the average duration that a turn needs at least, as a divisor (ours): many turns are shorter
/// than the average, so only one that lacks even half of it is given up.
const LEAST_NEED: u64 = 2;

/// Shortest time that a refused turn is told to stay away (ours).
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Longest time that a refused turn is told to stay away (ours).
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Sizes of one engine's admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Turns that run at once.
    pub slots: u32,
    /// Turns that may wait.
    pub queue: u32,
    /// Slots kept for groups.
    pub spans: Vec<ReservedSpan>,
}

/// A turn that asks for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TurnAsk {
    /// For fairness.
    pub tenant: TenantId,
    /// For windows.
    pub group: Option<WindowGroup>,
    /// Whether it may use the urgent reserve.
    pub urgent: bool,
    /// When it has to be over.
    pub deadline: UnixMillis,
}

/// What came of a wish.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It may run; give the slot back with [`Admission::release`].
    Granted,
    /// The queue is full, or it can no longer end in time: come back after this time.
    Overloaded {
        /// Time until a slot is likely.
        retry_after: Duration,
    },
    /// Its deadline has passed.
    DeadlineExceeded,
}

/// A wish and what came of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// The wish.
    pub ticket: Ticket,
    /// What came of it.
    pub outcome: Outcome,
}

#[derive(Debug, Clone)]
struct Waiting {
    ask: TurnAsk,
    occupant: Occupant,
}

#[derive(Debug, Clone)]
struct Running {
    tenant: TenantId,
    occupant: Occupant,
    since: UnixMillis,
}

/// The slots of one engine.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    reservations: Reservations,
    queue: u32,
    running: BTreeMap<Ticket, Running>,
    waiting: BTreeMap<Ticket, Waiting>,
    /// Moving average of turns' durations, in milliseconds; 0 while unknown.
    average_ms: u64,
}

impl Admission {
    /// Admission with the given sizes.
    #[must_use]
    pub fn new(limits: AdmissionLimits) -> Self {
        let mut admission = Self::default();
        admission.resize(limits);
        admission
    }

    /// Takes new sizes; running turns keep their slots.
    pub fn resize(&mut self, limits: AdmissionLimits) {
        let urgent = limits.slots / URGENT_SHARE;
        self.reservations = Reservations { slots: limits.slots, urgent, spans: limits.spans };
        self.queue = limits.queue;
    }

    /// Turns running and waiting.
    #[must_use]
    pub fn load(&self) -> (u32, u32) {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        (count(self.running.len()), count(self.waiting.len()))
    }

    /// How the slots are used, by group; groups without slots kept and running turns are left out.
    #[must_use]
    pub fn uses(&self, now: UnixMillis) -> Vec<SlotUse> {
        let mut uses: BTreeMap<Option<WindowGroup>, (u32, u32)> = BTreeMap::new();
        for (group, reserved) in self.reservations.shares_at(now) {
            uses.entry(Some(group.clone())).or_default().0 = reserved;
        }
        for running in self.running.values() {
            uses.entry(running.occupant.group.clone()).or_default().1 += 1;
        }
        let told = |(group, (reserved, running))| SlotUse { group, reserved, running };
        uses.into_iter().map(told).collect()
    }

    /// A turn asks for a slot. The decisions may be about others too: one that is pushed out of a full queue.
    pub fn request(&mut self, ticket: Ticket, ask: TurnAsk, now: UnixMillis) -> Vec<Decision> {
        let occupant =
            Occupant { group: ask.group.clone(), urgent: ask.urgent, ends_by: ask.deadline };
        let mut decisions = self.shed(now);
        if ask.deadline <= now {
            decisions.push(Decision { ticket, outcome: Outcome::DeadlineExceeded });
            return decisions;
        }
        self.waiting.insert(ticket, Waiting { ask, occupant });
        // One that finds a slot free runs whatever the average says, so that the average can fall again.
        decisions.extend(self.start_allowed(now));
        decisions.extend(self.shed(now));
        if self.waiting.len() > self.queue as usize {
            let retry_after = self.retry_after();
            if let Some(ticket) = self.least_entitled() {
                self.waiting.remove(&ticket);
                let outcome = Outcome::Overloaded { retry_after };
                decisions.push(Decision { ticket, outcome });
            }
        }
        decisions
    }

    /// A turn is over, or no longer wants its slot.
    pub fn release(&mut self, ticket: Ticket, now: UnixMillis) -> Vec<Decision> {
        self.waiting.remove(&ticket);
        if let Some(running) = self.running.remove(&ticket) {
            self.note_duration(running.since.until(now));
        }
        self.settle(now)
    }

    /// Time has passed: gives up what can no longer end in time, starts what may run now.
    pub fn settle(&mut self, now: UnixMillis) -> Vec<Decision> {
        let mut decisions = self.shed(now);
        decisions.extend(self.start_allowed(now));
        decisions
    }

    fn start_allowed(&mut self, now: UnixMillis) -> Vec<Decision> {
        let mut decisions = Vec::new();
        while let Some(ticket) = self.next_to_run(now) {
            let Some(waiting) = self.waiting.remove(&ticket) else { break };
            let running =
                Running { tenant: waiting.ask.tenant, occupant: waiting.occupant, since: now };
            self.running.insert(ticket, running);
            decisions.push(Decision { ticket, outcome: Outcome::Granted });
        }
        decisions
    }

    /// When [`Admission::settle`] is due next, if nothing happens before.
    #[must_use]
    pub fn next_settle(&self, now: UnixMillis) -> Option<UnixMillis> {
        let needed = self.least_need();
        let sheds = self.waiting.values().map(|w| {
            let by = UnixMillis(w.ask.deadline.0.saturating_sub(millis(needed)));
            by.max(now).plus(Duration::from_millis(1))
        });
        let spans = self.reservations.spans.iter().flat_map(|s| [s.start, s.end]);
        let edges = spans.filter(|at| *at > now && !self.waiting.is_empty());
        sheds.chain(edges).min()
    }

    fn shed(&mut self, now: UnixMillis) -> Vec<Decision> {
        let needed = self.least_need();
        let retry_after = self.retry_after();
        let hopeless = |w: &Waiting| now.plus(needed) > w.ask.deadline || w.ask.deadline <= now;
        let shed: Vec<(Ticket, UnixMillis)> = self
            .waiting
            .iter()
            .filter(|(_, w)| hopeless(w))
            .map(|(t, w)| (*t, w.ask.deadline))
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
        let mut running_of: BTreeMap<&TenantId, usize> = BTreeMap::new();
        for turn in self.running.values() {
            *running_of.entry(&turn.tenant).or_default() += 1;
        }
        let order = |t: Ticket, w: &Waiting| {
            let busy = running_of.get(&w.ask.tenant).copied().unwrap_or(0);
            (!w.ask.urgent, busy, w.ask.deadline, t)
        };
        let mut candidates: Vec<_> = self.waiting.iter().map(|(t, w)| (order(*t, w), w)).collect();
        candidates.sort_by_key(|(order, _)| *order);
        let allowed = |w: &Waiting| self.reservations.allow(&w.occupant, &running, now);
        candidates.into_iter().find(|(_, w)| allowed(w)).map(|((.., ticket), _)| ticket)
    }

    /// Whom a full queue pushes out: of the tenant with the most waiting turns the one with the latest
    /// deadline; urgent turns last.
    fn least_entitled(&self) -> Option<Ticket> {
        let mut waiting_of: BTreeMap<&TenantId, usize> = BTreeMap::new();
        for waiting in self.waiting.values() {
            *waiting_of.entry(&waiting.ask.tenant).or_default() += 1;
        }
        let claim = |t: Ticket, w: &Waiting| {
            let crowd = waiting_of.get(&w.ask.tenant).copied().unwrap_or(0);
            (!w.ask.urgent, crowd, w.ask.deadline, t)
        };
        self.waiting.iter().map(|(t, w)| claim(*t, w)).max().map(|(.., ticket)| ticket)
    }

    fn least_need(&self) -> Duration {
        Duration::from_millis(self.average_ms / LEAST_NEED)
    }

    /// Time until those who wait now have likely run.
    fn retry_after(&self) -> Duration {
        let ahead = self.waiting.len() as u64 + 1;
        let slots = u64::from(self.reservations.slots.max(1));
        let wait = Duration::from_millis(ahead.saturating_mul(self.average_ms) / slots);
        wait.clamp(LEAST_RETRY_AFTER, LONGEST_RETRY_AFTER)
    }

    fn note_duration(&mut self, duration: Duration) {
        let sample = millis(duration);
        self.average_ms = if self.average_ms == 0 {
            sample
        } else {
            (self.average_ms * (DURATION_WEIGHT - 1) + sample) / DURATION_WEIGHT
        };
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
