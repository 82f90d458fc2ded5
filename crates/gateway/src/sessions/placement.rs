//! Placement of new sessions (design document, section 5). Pure: candidates, load and randomness
//! are passed in.

use std::net::SocketAddr;

use hooklug_bundle::{Service, VersionState};
use hooklug_protocol::control::{ClusterView, Member, MemberHealth};
use hooklug_types::{EngineIncarnation, PrefixId, ServiceName, ServiceVersion, ZoneName};
use rand::{Rng, RngExt};

/// Multiple of the average load that an engine may have before its prefixes go elsewhere; the usual
/// factor of consistent hashing with bounded loads.
const PREFIX_LOAD_FACTOR: f64 = 1.25;

/// Load per slot at which engines of the local zone count as full and other zones are considered.
const ZONE_OVERFLOW_AT: f64 = 1.0;

/// An engine that is eligible for a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The engine and its incarnation.
    pub engine: EngineIncarnation,
    /// Its RPC address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Version that it runs.
    pub version: ServiceVersion,
    /// Number of turns that it can run concurrently; at least 1.
    pub slots: u32,
    /// Number of running and queued turns.
    pub work: u32,
}

impl Candidate {
    fn load_ratio(&self) -> f64 {
        f64::from(self.work) / f64::from(self.slots.max(1))
    }
}

/// Returns the incarnation of a member's session-host engine; `None` for other roles.
#[must_use]
pub fn engine_of(member: &Member) -> Option<EngineIncarnation> {
    let host = member.engine.as_ref()?;
    Some(EngineIncarnation { engine: host.engine.clone(), incarnation: member.address.incarnation })
}

/// Returns an engine's address if the view lists this incarnation and does not consider it failed.
#[must_use]
pub fn address_of(view: &ClusterView, engine: &EngineIncarnation) -> Option<SocketAddr> {
    let alive = view.members.values().filter(|m| m.health != MemberHealth::Dead);
    let mut found = alive.filter(|m| engine_of(m).as_ref() == Some(engine));
    found.next().map(|m| m.address.rpc)
}

/// Local information about engines beyond the cluster view.
pub trait EngineInfo {
    /// Number of running and queued turns at the engine.
    fn work(&self, engine: &EngineIncarnation) -> u32;
    /// Whether the engine must get no new session from this gateway: it reported that it is
    /// draining, or it failed recently.
    fn is_excluded(&self, engine: &EngineIncarnation) -> bool;
    /// Whether this gateway stopped sending new traffic to a version, based on its own statistics.
    fn is_stopped(&self, service: &ServiceName, version: &ServiceVersion) -> bool;
}

/// Returns the engines of the service's newest sound version that can accept a session now. If it
/// has none (not started or not ready yet), those of the next older sound version that has some.
#[must_use]
pub fn candidates(
    view: &ClusterView,
    name: &ServiceName,
    service: &Service,
    engines: &dyn EngineInfo,
) -> Vec<Candidate> {
    let sound = service.versions.iter().rev().filter(|v| v.state == VersionState::Sound);
    sound
        .filter(|entry| !engines.is_stopped(name, &entry.version))
        .map(|entry| candidates_of_version(view, name, &entry.version, engines))
        .find(|found| !found.is_empty())
        .unwrap_or_default()
}

fn candidates_of_version(
    view: &ClusterView,
    name: &ServiceName,
    version: &ServiceVersion,
    engines: &dyn EngineInfo,
) -> Vec<Candidate> {
    let alive = view.members.values().filter(|m| m.health == MemberHealth::Alive);
    alive
        .filter_map(|member| {
            let host = member.engine.as_ref()?;
            let engine = engine_of(member)?;
            let eligible = host.service == *name
                && host.version == *version
                && host.ready
                && !host.draining
                && !engines.is_excluded(&engine);
            eligible.then(|| Candidate {
                address: member.address.rpc,
                zone: member.address.zone.clone(),
                version: version.clone(),
                slots: host.slots,
                work: engines.work(&engine),
                engine,
            })
        })
        .collect()
}

/// Selects an engine: by prefix if there is one, otherwise the less loaded of two random ones,
/// preferring the local zone.
pub fn choose(
    candidates: &[Candidate],
    prefix: Option<&PrefixId>,
    own_zone: &ZoneName,
    random: &mut impl Rng,
) -> Option<Candidate> {
    match prefix {
        Some(prefix) => choose_by_prefix(candidates, prefix),
        None => better_of_two(&prefer_own_zone(candidates, own_zone), random),
    }
    .cloned()
}

/// Rendezvous hashing with bounded load: selects the highest-ranked engine within its bound, so
/// that all gateways send a prefix to the same engine while it has capacity.
fn choose_by_prefix<'a>(candidates: &'a [Candidate], prefix: &PrefixId) -> Option<&'a Candidate> {
    let mut ranked: Vec<&Candidate> = candidates.iter().collect();
    ranked.sort_by_key(|c| std::cmp::Reverse(rank(prefix, c)));
    let slots: u32 = candidates.iter().map(|c| c.slots.max(1)).sum();
    let work: u32 = candidates.iter().map(|c| c.work).sum();
    let average = f64::from(work + 1) / f64::from(slots.max(1));
    let fits = |c: &&&Candidate| {
        let bound = (average * PREFIX_LOAD_FACTOR * f64::from(c.slots.max(1))).ceil();
        f64::from(c.work + 1) <= bound
    };
    ranked.iter().find(fits).copied().or_else(|| least_loaded(candidates))
}

fn rank(prefix: &PrefixId, candidate: &Candidate) -> [u8; 8] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(prefix.as_str().as_bytes());
    hasher.update(&[0]);
    // Hash the engine's name, not its incarnation, so that a restarted engine gets its prefixes
    // back.
    hasher.update(candidate.engine.engine.as_str().as_bytes());
    let mut rank = [0_u8; 8];
    rank.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    rank
}

fn prefer_own_zone<'a>(candidates: &'a [Candidate], own_zone: &ZoneName) -> Vec<&'a Candidate> {
    let own: Vec<&Candidate> = candidates
        .iter()
        .filter(|c| c.zone == *own_zone && c.load_ratio() < ZONE_OVERFLOW_AT)
        .collect();
    if own.is_empty() { candidates.iter().collect() } else { own }
}

fn better_of_two<'a>(candidates: &[&'a Candidate], random: &mut impl Rng) -> Option<&'a Candidate> {
    if candidates.len() <= 1 {
        return candidates.first().copied();
    }
    let first = random.random_range(0..candidates.len());
    let second = (first + random.random_range(1..candidates.len())) % candidates.len();
    let (a, b) = (candidates[first], candidates[second]);
    Some(if b.load_ratio() < a.load_ratio() { b } else { a })
}

fn least_loaded(candidates: &[Candidate]) -> Option<&Candidate> {
    candidates.iter().min_by(|a, b| a.load_ratio().total_cmp(&b.load_ratio()))
}
