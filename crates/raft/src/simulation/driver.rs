//! What the shell of a replica does with its work: write, sync, send, apply, advance.

use hooklug_types::NodeId;
use rand::RngExt;

use super::disk::Write;
use super::event::{Event, Packet, Run};
use super::fault_profile::TICK_UNITS;
use super::machine::StateMachine;
use super::replica::Replica;
use super::runner::World;
use super::violation::Violation;
use crate::message::{Entry, EntryKind, Message};
use crate::ready::{Ready, Snapshot};

/// Time after which a snapshot that did not arrive is reported as failed.
const SNAPSHOT_TIMEOUT_UNITS: u64 = 15 * TICK_UNITS;

impl World {
    /// Takes up a replica's next round of work unless one is waiting for its sync.
    pub(super) fn work(&mut self, node: NodeId) -> Result<(), Violation> {
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

    pub(super) fn sync_done(&mut self, run: Run) -> Result<(), Violation> {
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
        for context in ready.aborted_reads {
            process.reads.remove(&context);
        }
        for to in ready.snapshot_requests {
            self.send_snapshot(run, to);
        }
        self.answer(run.node)
    }

    fn apply(&mut self, run: Run, ready: &Ready) -> Result<(), Violation> {
        let node = run.node;
        let Some(replica) = self.replicas.get_mut(&node) else { return Ok(()) };
        let Some(process) = &mut replica.process else { return Ok(()) };
        if let Some(snapshot) = &ready.snapshot {
            process.machine = StateMachine::decode(&snapshot.data);
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
}

/// Whether an entry is a client's write proposed after a call number; never without one.
fn is_call_after(entry: &Entry, call: Option<u64>) -> bool {
    let EntryKind::Command(command) = &entry.kind else { return false };
    let number = command.as_ref().try_into().map(u64::from_le_bytes);
    matches!((number, call), (Ok(number), Some(call)) if number > call)
}
