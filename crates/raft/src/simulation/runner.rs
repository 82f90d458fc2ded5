//! One run: a group, its clients, its operator and its faults in simulated time.

use std::collections::{BTreeMap, BTreeSet};

use hooklug_types::NodeId;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::broken_rule::BrokenRule;
use super::checker::Checker;
use super::event::{Event, EventQueue, Packet, Run};
use super::fault_profile::{TICK_UNITS, Weather};
use super::network::{Network, chance};
use super::replica::{Process, Replica};
use super::trace::Trace;
use super::violation::Violation;
use crate::config::Config;
use crate::message::ConfState;
use crate::ready::Role;

/// Length of the part of a run that has faults.
const FAULT_UNITS: u64 = 400 * TICK_UNITS;
/// Time that the group has to recover: several elections that fail, then one that succeeds.
const RECOVERY_UNITS: u64 = 300 * TICK_UNITS;
/// Time that members have to catch up with the clients still. Long, as a backlog may travel one
/// entry a round trip; a run ends as soon as they have.
const CATCH_UP_UNITS: u64 = 4_000 * TICK_UNITS;

/// Events after which a run is cut off: some fifty times the usual number.
const MAX_EVENTS: u64 = 500_000;

/// Which run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scenario {
    /// Decides everything.
    pub seed: u64,
    /// A rule to break, to see whether it is noticed.
    pub broken_rule: Option<BrokenRule>,
    /// Whether to keep the last events in words.
    pub in_words: bool,
}

/// What happened in a run or in many.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Totals {
    /// Events.
    pub events: u64,
    /// Writes acknowledged.
    pub writes: u64,
    /// Linearizable reads answered.
    pub reads: u64,
    /// Crashes.
    pub crashes: u64,
    /// Cuts, each of one link or of all links of a replica.
    pub cuts: u64,
    /// Freezes.
    pub freezes: u64,
    /// Lost disks.
    pub lost_disks: u64,
    /// Membership changes appended.
    pub conf_changes: u64,
    /// Compactions.
    pub compactions: u64,
    /// Snapshots installed at a follower.
    pub snapshots: u64,
    /// Transfers of leadership begun.
    pub transfers: u64,
}

/// The end of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Digest over all events and states; the same for the same scenario.
    pub digest: u64,
    /// The first violation; the run ends there.
    pub violation: Option<Violation>,
    /// What happened.
    pub totals: Totals,
    /// The last events, when asked for.
    pub lines: Vec<String>,
}

/// Runs a scenario from start to end.
#[must_use]
pub fn run(scenario: Scenario) -> Outcome {
    let mut world = World::new(scenario);
    let violation = world.play().err();
    let totals = Totals { events: world.trace.events(), ..world.totals };
    Outcome { digest: world.trace.digest(), violation, totals, lines: world.trace.into_lines() }
}

/// Everything that a run holds.
pub(super) struct World {
    pub(super) scenario: Scenario,
    pub(super) random: ChaCha8Rng,
    pub(super) weather: Weather,
    pub(super) now: u64,
    pub(super) events: EventQueue,
    pub(super) network: Network,
    pub(super) replicas: BTreeMap<NodeId, Replica>,
    pub(super) first_conf: ConfState,
    pub(super) checker: Checker,
    pub(super) calls: u64,
    pub(super) totals: Totals,
    trace: Trace,
    /// Highest index of a write acknowledged that was proposed after the faults ended.
    pub(super) recovered_to: Option<u64>,
    pub(super) calm_since_call: Option<u64>,
    pub(super) clients_stopped: bool,
}

impl World {
    fn new(scenario: Scenario) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(scenario.seed);
        // Breaking this rule shows in storms only.
        let always_storm = scenario.broken_rule == Some(BrokenRule::CommitOlderTermByCounting);
        let weather = Weather::draw(&mut random, always_storm);
        let count = random.random_range(weather.min_voters..=weather.max_voters);
        let voters: BTreeSet<NodeId> = (1..=count).map(NodeId).collect();
        let first_conf = ConfState { voters, learners: BTreeSet::new() };
        let mut world = Self {
            scenario,
            random,
            weather,
            now: 0,
            events: EventQueue::default(),
            network: Network::default(),
            replicas: BTreeMap::new(),
            first_conf: first_conf.clone(),
            checker: Checker::default(),
            calls: 0,
            totals: Totals::default(),
            trace: Trace::new(scenario.in_words),
            recovered_to: None,
            calm_since_call: None,
            clients_stopped: false,
        };
        for id in &first_conf.voters {
            world.add_replica(*id, first_conf.clone());
        }
        world.events.schedule(1, Event::NextCall);
        world.events.schedule(1, Event::NextFaults);
        world
    }

    fn play(&mut self) -> Result<(), Violation> {
        self.play_until(FAULT_UNITS)?;
        self.weather = self.weather.calm();
        self.calm_down();
        self.calm_since_call = Some(self.calls);
        let commit_before = self.checker.committed();
        self.play_until(FAULT_UNITS + RECOVERY_UNITS)?;
        if self.checker.committed() == commit_before {
            return Err(Violation::NoRecovery { units: RECOVERY_UNITS });
        }
        self.clients_stopped = true;
        self.catch_up()?;
        if self.recovered_to.is_none() {
            return Err(Violation::NoRecovery { units: RECOVERY_UNITS + CATCH_UP_UNITS });
        }
        Ok(())
    }

    /// With the clients still, all that a leader has must be committed and every member hold it.
    fn catch_up(&mut self) -> Result<(), Violation> {
        let end = self.now + CATCH_UP_UNITS;
        loop {
            let behind = self.check_caught_up();
            if behind.is_ok() || self.now >= end {
                return behind;
            }
            self.play_until(self.now + 10 * TICK_UNITS)?;
        }
    }

    fn play_until(&mut self, end: u64) -> Result<(), Violation> {
        while let Some((at, event)) = self.events.pop() {
            if at > end {
                self.events.schedule(at, event);
                return Ok(());
            }
            self.now = at;
            if self.trace.events() >= MAX_EVENTS {
                return Err(Violation::EventStorm { events: MAX_EVENTS });
            }
            if let Some(wake) = self.frozen_until(&event) {
                self.events.schedule(wake, event);
                continue;
            }
            self.trace.event(at, &event);
            let node = event.node();
            self.happen(event)?;
            if let Some(node) = node {
                self.work(node)?;
                self.check(node)?;
            }
        }
        Ok(())
    }

    fn frozen_until(&self, event: &Event) -> Option<u64> {
        let until = self.replicas.get(&event.node()?)?.frozen_until;
        (until > self.now).then_some(until)
    }

    fn happen(&mut self, event: Event) -> Result<(), Violation> {
        match event {
            Event::Tick(run) => self.tick(run),
            Event::Deliver { packet, sent_in } => self.deliver(packet, sent_in),
            Event::SyncDone(run) => return self.sync_done(run),
            Event::ReportSnapshot { run, to, sent } => {
                if let Some(process) = self.process_of(run) {
                    process.raw.report_snapshot(to, sent);
                }
            }
            Event::Write(node) => self.write(node),
            Event::Read(node) => self.read(node),
            Event::Restart(node) => self.restart(node),
            Event::LeaderFalls(node) => self.fell_leader(node),
            Event::HealLink { from, to } => self.network.heal(from, to),
            Event::NextCall => self.next_call(),
            Event::NextFaults => self.next_faults(),
        }
        Ok(())
    }

    fn tick(&mut self, run: Run) {
        let Some(process) = self.process_of(run) else { return };
        process.raw.tick();
        let units = self.replicas.get(&run.node).map_or(TICK_UNITS, |r| r.tick_units);
        self.events.schedule(self.now + units, Event::Tick(run));
    }

    fn deliver(&mut self, packet: Packet, sent_in: Run) {
        if self.is_lost_on_the_way(sent_in, packet.to()) {
            return;
        }
        match packet {
            Packet::Message(message) => {
                if let Some(process) = self.process_mut(message.to) {
                    process.raw.step(message);
                }
            }
            Packet::Snapshot { from, to, term, snapshot } => {
                if let Some(process) = self.process_mut(to) {
                    process.raw.receive_snapshot(from, term, snapshot);
                }
            }
        }
    }

    /// A cut or a crash of the sender takes what is on its way, the latter half of the time.
    fn is_lost_on_the_way(&mut self, sent_in: Run, to: NodeId) -> bool {
        let sender = self.replicas.get(&sent_in.node);
        let runs = sender.is_some_and(|r| r.run == sent_in.number && r.process.is_some());
        self.network.is_cut(sent_in.node, to) || (!runs && chance(&mut self.random, 500))
    }

    pub(super) fn restart(&mut self, node: NodeId) {
        let stopped = self.replicas.get(&node).is_some_and(|r| r.process.is_none() && !r.lost);
        if stopped {
            self.checker.restarted(node);
            self.start(node);
        }
    }

    pub(super) fn start(&mut self, node: NodeId) {
        let seed = self.random.random_range(0..u64::MAX);
        let broken = self.scenario.broken_rule;
        let config = self.config(node, seed);
        let Some(replica) = self.replicas.get_mut(&node) else { return };
        replica.start(config, broken);
        let first_tick = self.random.random_range(1..=replica.tick_units);
        self.events.schedule(self.now + first_tick, Event::Tick(replica.current_run()));
    }

    pub(super) fn process_mut(&mut self, node: NodeId) -> Option<&mut Process> {
        self.replicas.get_mut(&node)?.process.as_mut()
    }

    pub(super) fn process_of(&mut self, run: Run) -> Option<&mut Process> {
        let replica = self.replicas.get_mut(&run.node)?;
        if replica.run == run.number { replica.process.as_mut() } else { None }
    }

    fn check(&mut self, node: NodeId) -> Result<(), Violation> {
        let Some(process) = self.replicas.get(&node).and_then(|r| r.process.as_ref()) else {
            return Ok(());
        };
        self.trace.state(self.now, &process.raw);
        let others = self.replicas.values().filter(|r| r.id != node);
        let others = others.filter_map(|r| r.process.as_ref()).map(|process| &process.raw);
        let is_new_leader = self.checker.check(&process.raw, others)?;
        if is_new_leader {
            self.draw_fall(node);
        }
        Ok(())
    }

    /// Whether every member of the newest leader's group has applied all that is committed.
    fn check_caught_up(&self) -> Result<(), Violation> {
        let processes = self.replicas.values().filter_map(|r| r.process.as_ref());
        let leaders = processes.filter(|process| process.raw.role == Role::Leader);
        let Some(leader) = leaders.max_by_key(|process| process.raw.term) else {
            return Err(Violation::NoRecovery { units: RECOVERY_UNITS });
        };
        let commit = leader.raw.log.last_index();
        for node in leader.raw.log.conf().members() {
            let process = self.replicas.get(&node).and_then(|r| r.process.as_ref());
            let applied = process.map(|process| process.machine.applied);
            if let Some(applied) = applied.filter(|applied| *applied < commit) {
                return Err(Violation::NotCaughtUp { node, applied, commit });
            }
        }
        Ok(())
    }

    fn config(&self, id: NodeId, seed: u64) -> Config {
        Config {
            id,
            election_ticks: 10,
            heartbeat_ticks: 2,
            max_append_bytes: self.weather.max_append_bytes as usize,
            max_inflight: self.weather.max_inflight as usize,
            seed,
        }
    }
}
