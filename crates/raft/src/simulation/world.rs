//! One run: a group, its clients, its operator and its faults in simulated time.

use std::collections::{BTreeMap, BTreeSet};

use hooklug_types::NodeId;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::broken_rule::BrokenRule;
use super::checker::Checker;
use super::disk::Write;
use super::event::{Event, EventQueue, Packet, Run};
use super::network::{Network, chance};
use super::replica::{Process, Replica};
use super::trace::Trace;
use super::violation::Violation;
use super::weather::{TICK_UNITS, Weather};
use crate::config::Config;
use crate::message::{ConfState, Entry, EntryKind, Message};
use crate::ready::{Ready, Role, Snapshot};

/// Length of the part of a run that has faults.
const FAULT_UNITS: u64 = 400 * TICK_UNITS;
/// Time that the group has to recover: several elections that fail, then one that succeeds.
const RECOVERY_UNITS: u64 = 300 * TICK_UNITS;
/// Time that members have to catch up with the clients still. Long, as a backlog may travel one
/// entry a round trip; a run ends as soon as they have.
const CATCH_UP_UNITS: u64 = 4_000 * TICK_UNITS;
/// Time after which a snapshot that did not arrive is reported as failed.
const SNAPSHOT_TIMEOUT_UNITS: u64 = 15 * TICK_UNITS;

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
    recovered_to: Option<u64>,
    calm_since_call: Option<u64>,
    pub(super) clients_stopped: bool,
}

impl World {
    fn new(scenario: Scenario) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(scenario.seed);
        let weather = Weather::draw(&mut random);
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
        self.play_until(FAULT_UNITS + RECOVERY_UNITS)?;
        if self.recovered_to.is_none() {
            return Err(Violation::NoRecovery { units: RECOVERY_UNITS });
        }
        self.clients_stopped = true;
        self.catch_up()
    }

    /// With the clients still, every member must come to hold everything.
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

    fn process_of(&mut self, run: Run) -> Option<&mut Process> {
        let replica = self.replicas.get_mut(&run.node)?;
        if replica.run == run.number { replica.process.as_mut() } else { None }
    }

    /// Takes up a replica's next round of work unless one is waiting for its sync.
    fn work(&mut self, node: NodeId) -> Result<(), Violation> {
        while let Some(ready) = self.take_ready(node) {
            let must_sync = ready.must_sync;
            self.send_all(node, &ready.messages_before_sync);
            let Some(replica) = self.replicas.get_mut(&node) else { return Ok(()) };
            let run = replica.current_run();
            if let Some(process) = &mut replica.process {
                process.syncing = Some(ready);
            }
            if must_sync {
                let units = self.random.random_range(0..=self.weather.max_sync);
                self.events.schedule(self.now + units, Event::SyncDone(run));
                return Ok(());
            }
            self.finish(run)?;
        }
        Ok(())
    }

    /// The next round of work, with its writes begun.
    fn take_ready(&mut self, node: NodeId) -> Option<Ready> {
        let hard_state_first = self.random.random_range(0..2) == 0;
        let replica = self.replicas.get_mut(&node)?;
        let process = replica.process.as_mut()?;
        if process.syncing.is_some() || !process.raw.has_ready() {
            return None;
        }
        let ready = process.raw.ready();
        let hard_state = ready.hard_state.map(Write::HardState);
        let snapshot = ready.snapshot.clone().map(Write::Snapshot);
        let log = snapshot.into_iter().chain(ready.entries.iter().cloned().map(Write::Entry));
        let writes: Vec<Write> = if hard_state_first {
            hard_state.into_iter().chain(log).collect()
        } else {
            log.chain(hard_state).collect()
        };
        for write in writes {
            replica.disk.write(write);
        }
        Some(ready)
    }

    fn sync_done(&mut self, run: Run) -> Result<(), Violation> {
        if self.process_of(run).is_none() {
            return Ok(());
        }
        let broken = self.scenario.broken_rule;
        if let Some(replica) = self.replicas.get_mut(&run.node) {
            replica.disk.sync(broken);
        }
        self.finish(run)
    }

    /// Sends, applies and advances once the writes are done.
    fn finish(&mut self, run: Run) -> Result<(), Violation> {
        let Some(ready) = self.process_of(run).and_then(|p| p.syncing.take()) else {
            return Ok(());
        };
        self.send_all(run.node, &ready.messages);
        self.apply(run, &ready)?;
        let Some(process) = self.process_of(run) else { return Ok(()) };
        process.raw.advance();
        process.confirmed.extend(ready.reads);
        for context in ready.reads_lost {
            process.reads.remove(&context);
        }
        for to in ready.snapshots_wanted {
            self.send_snapshot(run, to);
        }
        self.answer(run.node)
    }

    fn apply(&mut self, run: Run, ready: &Ready) -> Result<(), Violation> {
        let node = run.node;
        let Some(replica) = self.replicas.get_mut(&node) else { return Ok(()) };
        let Some(process) = &mut replica.process else { return Ok(()) };
        if let Some(snapshot) = &ready.snapshot {
            process.machine = super::machine::StateMachine::decode(&snapshot.data);
            self.totals.snapshots += 1;
            self.checker.state_reached(node, process.machine)?;
        }
        for entry in &ready.committed {
            let expected = process.machine.applied + 1;
            if entry.index != expected {
                return Err(Violation::ApplyGap { node, index: entry.index, expected });
            }
            if let EntryKind::ConfChange(change) = entry.kind {
                process.raw.apply_conf_change(change);
            }
            process.machine.apply(entry);
            self.checker.state_reached(node, process.machine)?;
            if process.writes.remove(&entry.index) == Some(entry.term) {
                self.totals.writes += 1;
                self.checker.write_acknowledged(entry.index);
                if is_call_after(entry, self.calm_since_call) {
                    self.recovered_to = Some(entry.index);
                }
            }
        }
        Ok(())
    }

    fn send_all(&mut self, sender: NodeId, messages: &[Message]) {
        let Some(sent_in) = self.replicas.get(&sender).map(Replica::current_run) else { return };
        for message in messages {
            let (from, to) = (message.from, message.to);
            for delay in self.network.fate(from, to, &self.weather, &mut self.random) {
                let packet = Packet::Message(message.clone());
                self.events.schedule(self.now + delay, Event::Deliver { packet, sent_in });
            }
        }
    }

    /// Sends a snapshot of the applied state, as the shell does, and reports how it went.
    fn send_snapshot(&mut self, run: Run, to: NodeId) {
        let Some(process) = self.process_of(run) else { return };
        let meta = process.raw.snapshot_meta();
        let (term, data) = (process.raw.term, process.machine.encode());
        let from = run.node;
        let packet = Packet::Snapshot { from, to, term, snapshot: Snapshot { meta, data } };
        let delays = self.network.fate(from, to, &self.weather, &mut self.random);
        let arrival = delays.first().copied();
        for delay in delays {
            self.events.schedule(
                self.now + delay,
                Event::Deliver { packet: packet.clone(), sent_in: run },
            );
        }
        let (wait, sent) = match arrival {
            Some(delay) => (delay, true),
            None => (SNAPSHOT_TIMEOUT_UNITS, false),
        };
        self.events.schedule(self.now + wait, Event::ReportSnapshot { run, to, sent });
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
        let commit = self.checker.committed();
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

/// Whether an entry is a client's write proposed after a call number; never without one.
fn is_call_after(entry: &Entry, call: Option<u64>) -> bool {
    let EntryKind::Command(command) = &entry.kind else { return false };
    let number = command.as_slice().try_into().map(u64::from_le_bytes);
    matches!((number, call), (Ok(number), Some(call)) if number > call)
}
