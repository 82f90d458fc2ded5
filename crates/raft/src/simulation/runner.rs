//! One simulation run: a group, its clients, its operator and its faults in simulated time.

use std::collections::{BTreeMap, BTreeSet};

use hooklug_types::NodeId;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::broken_rule::BrokenRule;
use super::checker::Checker;
use super::event::{Event, EventQueue, Packet, RunId};
use super::fault_profile::{FaultProfile, TICK_UNITS};
use super::network::{Network, chance};
use super::replica::{Process, Replica};
use super::trace::Trace;
use super::violation::Violation;
use crate::config::Config;
use crate::message::ConfState;
use crate::ready::Role;

/// Duration of the phase with faults.
const FAULT_UNITS: u64 = 400 * TICK_UNITS;
/// Time limit for the group to recover: enough for several failed elections and a successful one.
const RECOVERY_UNITS: u64 = 300 * TICK_UNITS;
/// Time limit for members to catch up after the clients have stopped. It is long because a backlog
/// may be replicated at one entry per round trip. The run ends as soon as they have caught up.
const CATCH_UP_UNITS: u64 = 4_000 * TICK_UNITS;

/// Maximum number of events in a run, about fifty times the usual number.
const MAX_EVENTS: u64 = 500_000;

/// Parameters of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scenario {
    /// Seed of all random decisions.
    pub seed: u64,
    /// Protocol rule to break, to test that the checker detects it.
    pub broken_rule: Option<BrokenRule>,
    /// Whether to record the last events as readable text.
    pub record_trace: bool,
}

/// Event counts of one or more runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Totals {
    /// Events processed.
    pub events: u64,
    /// Writes acknowledged.
    pub writes: u64,
    /// Linearizable reads served.
    pub reads: u64,
    /// Process crashes.
    pub crashes: u64,
    /// Network partitions, each of one link or of all links of a replica.
    pub partitions: u64,
    /// Process freezes.
    pub freezes: u64,
    /// Lost disks.
    pub lost_disks: u64,
    /// Membership changes appended.
    pub conf_changes: u64,
    /// Log compactions.
    pub compactions: u64,
    /// Snapshots installed by followers.
    pub snapshots: u64,
    /// Leadership transfers started.
    pub transfers: u64,
}

/// Result of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Digest over all events and states; equal scenarios have equal digests.
    pub digest: u64,
    /// The violation that ended the run, if any.
    pub violation: Option<Violation>,
    /// Event counts.
    pub totals: Totals,
    /// The last events as text, if requested.
    pub lines: Vec<String>,
}

/// Runs a scenario to its end or to the first violation.
#[must_use]
pub fn run(scenario: Scenario) -> Outcome {
    let mut simulation = Simulation::new(scenario);
    let violation = simulation.run_phases().err();
    let totals = Totals { events: simulation.trace.events(), ..simulation.totals };
    Outcome {
        digest: simulation.trace.digest(),
        violation,
        totals,
        lines: simulation.trace.into_lines(),
    }
}

/// The state of a run.
pub(super) struct Simulation {
    pub(super) scenario: Scenario,
    pub(super) random: ChaCha8Rng,
    pub(super) fault_profile: FaultProfile,
    pub(super) now: u64,
    pub(super) events: EventQueue,
    pub(super) network: Network,
    pub(super) replicas: BTreeMap<NodeId, Replica>,
    pub(super) first_conf: ConfState,
    pub(super) checker: Checker,
    pub(super) requests: u64,
    pub(super) totals: Totals,
    trace: Trace,
    /// Index of the latest acknowledged write that was proposed after the faults ended.
    pub(super) recovered_to: Option<u64>,
    pub(super) last_request_with_faults: Option<u64>,
    pub(super) clients_stopped: bool,
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(scenario.seed);
        // A violation of this rule shows only with frequent leader failures.
        let always_unstable_leaders =
            scenario.broken_rule == Some(BrokenRule::CommitOlderTermByCounting);
        let fault_profile = FaultProfile::draw(&mut random, always_unstable_leaders);
        let count = random.random_range(fault_profile.min_voters..=fault_profile.max_voters);
        let voters: BTreeSet<NodeId> = (1..=count).map(NodeId).collect();
        let first_conf = ConfState { voters, learners: BTreeSet::new() };
        let mut simulation = Self {
            scenario,
            random,
            fault_profile,
            now: 0,
            events: EventQueue::default(),
            network: Network::default(),
            replicas: BTreeMap::new(),
            first_conf: first_conf.clone(),
            checker: Checker::default(),
            requests: 0,
            totals: Totals::default(),
            trace: Trace::new(scenario.record_trace),
            recovered_to: None,
            last_request_with_faults: None,
            clients_stopped: false,
        };
        for id in &first_conf.voters {
            simulation.add_replica(*id, first_conf.clone());
        }
        simulation.events.schedule(1, Event::NextRequest);
        simulation.events.schedule(1, Event::NextFaults);
        simulation
    }

    fn run_phases(&mut self) -> Result<(), Violation> {
        self.run_until(FAULT_UNITS)?;
        self.fault_profile = self.fault_profile.without_faults();
        self.end_faults();
        self.last_request_with_faults = Some(self.requests);
        let commit_before = self.checker.committed();
        self.run_until(FAULT_UNITS + RECOVERY_UNITS)?;
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

    /// After the clients have stopped, every member must commit and apply the leader's entire log.
    fn catch_up(&mut self) -> Result<(), Violation> {
        let end = self.now + CATCH_UP_UNITS;
        loop {
            let behind = self.check_caught_up();
            if behind.is_ok() || self.now >= end {
                return behind;
            }
            self.run_until(self.now + 10 * TICK_UNITS)?;
        }
    }

    fn run_until(&mut self, end: u64) -> Result<(), Violation> {
        while let Some((at, event)) = self.events.pop() {
            if at > end {
                self.events.schedule(at, event);
                return Ok(());
            }
            self.now = at;
            if self.trace.events() >= MAX_EVENTS {
                return Err(Violation::EventStorm { events: MAX_EVENTS });
            }
            if let Some(resume_at) = self.frozen_until(&event) {
                self.events.schedule(resume_at, event);
                continue;
            }
            self.trace.event(at, &event);
            let node = event.node();
            self.handle_event(event)?;
            if let Some(node) = node {
                self.process_ready(node)?;
                self.check(node)?;
            }
        }
        Ok(())
    }

    fn frozen_until(&self, event: &Event) -> Option<u64> {
        let until = self.replicas.get(&event.node()?)?.frozen_until;
        (until > self.now).then_some(until)
    }

    fn handle_event(&mut self, event: Event) -> Result<(), Violation> {
        match event {
            Event::Tick(run) => self.tick(run),
            Event::Deliver { packet, sender_run } => self.deliver(packet, sender_run),
            Event::SyncDone(run) => return self.sync_done(run),
            Event::ReportSnapshot { run, to, sent } => {
                if let Some(process) = self.process_in_run(run) {
                    process.raw.report_snapshot(to, sent);
                }
            }
            Event::Write(node) => self.write(node),
            Event::Read(node) => self.read(node),
            Event::Restart(node) => self.restart(node),
            Event::LeaderFailure(node) => self.fail_leader(node),
            Event::HealLink { from, to } => self.network.heal(from, to),
            Event::NextRequest => self.next_request(),
            Event::NextFaults => self.next_faults(),
        }
        Ok(())
    }

    fn tick(&mut self, run: RunId) {
        let Some(process) = self.process_in_run(run) else { return };
        process.raw.tick();
        let units = self.replicas.get(&run.node).map_or(TICK_UNITS, |r| r.tick_units);
        self.events.schedule(self.now + units, Event::Tick(run));
    }

    fn deliver(&mut self, packet: Packet, sender_run: RunId) {
        if self.is_lost_in_transit(sender_run, packet.to()) {
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

    /// Whether a packet is lost in transit: always if its link is partitioned, and in half of the
    /// cases if the sending process has exited.
    fn is_lost_in_transit(&mut self, sender_run: RunId, to: NodeId) -> bool {
        let sender = self.replicas.get(&sender_run.node);
        let runs = sender.is_some_and(|r| r.run == sender_run.number && r.process.is_some());
        self.network.is_blocked(sender_run.node, to) || (!runs && chance(&mut self.random, 500))
    }

    pub(super) fn restart(&mut self, node: NodeId) {
        let stopped = self.replicas.get(&node).is_some_and(|r| r.process.is_none() && !r.lost);
        if stopped {
            self.checker.reset_replica(node);
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

    pub(super) fn process_in_run(&mut self, run: RunId) -> Option<&mut Process> {
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
            self.schedule_leader_failure(node);
        }
        Ok(())
    }

    /// Checks that every running member of the newest leader's group has applied the leader's log.
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
            max_append_bytes: self.fault_profile.max_append_bytes as usize,
            max_inflight: self.fault_profile.max_inflight as usize,
            seed,
        }
    }
}
