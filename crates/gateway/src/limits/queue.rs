//! A bounded queue of calls waiting for a free slot at an application engine: urgent calls first,
//! fair between tenants, earliest deadline first within a tenant. Pure.

use std::collections::{BTreeMap, VecDeque};

use hooklug_types::TenantId;
use tokio::time::Instant;

/// Sort key of a queued call: by deadline, then by arrival.
type Position = (Instant, u64);

/// Identifies a queued call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    tenant: Option<TenantId>,
    position: Position,
}

/// Result of queueing a call.
#[derive(Debug, PartialEq, Eq)]
pub enum PushResult<T> {
    /// The call is queued.
    Waiting(Ticket),
    /// The call is queued and replaced another one, which is returned.
    Displaced(Ticket, T),
    /// The queue is full and no tenant has more queued calls than this one.
    Full(T),
}

/// Queue of calls.
#[derive(Debug)]
pub struct CallQueue<T> {
    urgent: BTreeMap<Position, T>,
    tenants: BTreeMap<TenantId, BTreeMap<Position, T>>,
    /// Tenants with queued calls, in round-robin order.
    rotation: VecDeque<TenantId>,
    arrivals: u64,
}

impl<T> Default for CallQueue<T> {
    fn default() -> Self {
        Self {
            urgent: BTreeMap::new(),
            tenants: BTreeMap::new(),
            rotation: VecDeque::new(),
            arrivals: 0,
        }
    }
}

impl<T> CallQueue<T> {
    /// Returns the number of queued calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.urgent.len() + self.tenants.values().map(BTreeMap::len).sum::<usize>()
    }

    /// Returns whether no call is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.rotation.is_empty()
    }

    /// Queues a call within a bound on the total number of calls. At the bound, the tenant with the
    /// most queued calls loses its call with the latest deadline, so that one tenant's burst does
    /// not displace other tenants.
    pub fn push(
        &mut self,
        tenant: &TenantId,
        urgent: bool,
        deadline: Instant,
        bound: usize,
        item: T,
    ) -> PushResult<T> {
        let displaced = if self.len() < bound {
            None
        } else {
            match self.displace(tenant, urgent) {
                Some(displaced) => Some(displaced),
                None => return PushResult::Full(item),
            }
        };
        self.arrivals += 1;
        let position = (deadline, self.arrivals);
        let ticket = Ticket { tenant: (!urgent).then(|| tenant.clone()), position };
        if urgent {
            self.urgent.insert(position, item);
        } else {
            if !self.tenants.contains_key(tenant) {
                self.rotation.push_back(tenant.clone());
            }
            self.tenants.entry(tenant.clone()).or_default().insert(position, item);
        }
        match displaced {
            Some(displaced) => PushResult::Displaced(ticket, displaced),
            None => PushResult::Waiting(ticket),
        }
    }

    /// Removes the next call: urgent calls first, then round-robin between tenants.
    pub fn pop(&mut self) -> Option<T> {
        if let Some((_, item)) = self.urgent.pop_first() {
            return Some(item);
        }
        let tenant = self.rotation.pop_front()?;
        let waiting = self.tenants.get_mut(&tenant)?;
        let item = waiting.pop_first().map(|(_, item)| item);
        if waiting.is_empty() {
            self.tenants.remove(&tenant);
        } else {
            self.rotation.push_back(tenant);
        }
        item
    }

    /// Removes a call that no longer waits.
    pub fn remove(&mut self, ticket: &Ticket) -> Option<T> {
        let Some(tenant) = &ticket.tenant else { return self.urgent.remove(&ticket.position) };
        let waiting = self.tenants.get_mut(tenant)?;
        let item = waiting.remove(&ticket.position);
        if waiting.is_empty() {
            self.forget(&tenant.clone());
        }
        item
    }

    fn forget(&mut self, tenant: &TenantId) {
        self.tenants.remove(tenant);
        self.rotation.retain(|waiting| waiting != tenant);
    }

    /// Removes the call with the latest deadline of the tenant with the most queued calls. For a
    /// non-urgent call, that tenant must have more calls than the new call's tenant would have.
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
