//! Calls that wait for room at an application engine: bounded, urgent ones first, fair by tenant,
//! earliest deadline first within a tenant. Pure.

use std::collections::{BTreeMap, VecDeque};

use hooklug_types::TenantId;
use tokio::time::Instant;

/// A waiting call's place; earlier deadlines come first, then earlier arrivals.
type Place = (Instant, u64);

/// Names a waiting call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    tenant: Option<TenantId>,
    place: Place,
}

/// What came of a call that asked to wait.
#[derive(Debug, PartialEq, Eq)]
pub enum Pushed<T> {
    /// It waits.
    Waiting(Ticket),
    /// It waits, in place of another one, which has to go.
    Displaced(Ticket, T),
    /// The queue is full, and nobody has more waiting than this tenant.
    Full(T),
}

/// Waiting calls.
#[derive(Debug)]
pub struct CallQueue<T> {
    urgent: BTreeMap<Place, T>,
    tenants: BTreeMap<TenantId, BTreeMap<Place, T>>,
    /// Tenants with waiting calls, in the order of their next turns.
    turns: VecDeque<TenantId>,
    arrivals: u64,
}

impl<T> Default for CallQueue<T> {
    fn default() -> Self {
        Self {
            urgent: BTreeMap::new(),
            tenants: BTreeMap::new(),
            turns: VecDeque::new(),
            arrivals: 0,
        }
    }
}

impl<T> CallQueue<T> {
    /// Calls that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.urgent.len() + self.tenants.values().map(BTreeMap::len).sum::<usize>()
    }

    /// Whether no call waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.turns.is_empty()
    }

    /// Lets a call wait, within a bound on all of them. At the bound, the tenant with the most
    /// waiting loses its call with the latest deadline: one tenant's crowd costs the others nothing.
    pub fn push(
        &mut self,
        tenant: &TenantId,
        urgent: bool,
        deadline: Instant,
        bound: usize,
        item: T,
    ) -> Pushed<T> {
        let displaced = if self.len() < bound {
            None
        } else {
            match self.displace(tenant, urgent) {
                Some(displaced) => Some(displaced),
                None => return Pushed::Full(item),
            }
        };
        self.arrivals += 1;
        let place = (deadline, self.arrivals);
        let ticket = Ticket { tenant: (!urgent).then(|| tenant.clone()), place };
        if urgent {
            self.urgent.insert(place, item);
        } else {
            if !self.tenants.contains_key(tenant) {
                self.turns.push_back(tenant.clone());
            }
            self.tenants.entry(tenant.clone()).or_default().insert(place, item);
        }
        match displaced {
            Some(displaced) => Pushed::Displaced(ticket, displaced),
            None => Pushed::Waiting(ticket),
        }
    }

    /// Takes the next call: urgent ones first, then each tenant in turn.
    pub fn pop(&mut self) -> Option<T> {
        if let Some((_, item)) = self.urgent.pop_first() {
            return Some(item);
        }
        let tenant = self.turns.pop_front()?;
        let waiting = self.tenants.get_mut(&tenant)?;
        let item = waiting.pop_first().map(|(_, item)| item);
        if waiting.is_empty() {
            self.tenants.remove(&tenant);
        } else {
            self.turns.push_back(tenant);
        }
        item
    }

    /// Takes a call out that waits no longer.
    pub fn remove(&mut self, ticket: &Ticket) -> Option<T> {
        let Some(tenant) = &ticket.tenant else { return self.urgent.remove(&ticket.place) };
        let waiting = self.tenants.get_mut(tenant)?;
        let item = waiting.remove(&ticket.place);
        if waiting.is_empty() {
            self.forget(&tenant.clone());
        }
        item
    }

    fn forget(&mut self, tenant: &TenantId) {
        self.tenants.remove(tenant);
        self.turns.retain(|waiting| waiting != tenant);
    }

    /// Makes room, unless nobody has more waiting than the newcomer's tenant would have.
    fn displace(&mut self, newcomer: &TenantId, urgent: bool) -> Option<T> {
        let own = self.tenants.get(newcomer).map_or(0, BTreeMap::len);
        let (largest, waiting) = self.tenants.iter_mut().max_by_key(|(_, w)| w.len())?;
        if !urgent && waiting.len() <= own + 1 {
            return None;
        }
        let largest = largest.clone();
        let item = waiting.pop_last().map(|(_, item)| item);
        if waiting.is_empty() {
            self.forget(&largest);
        }
        item
    }
}
