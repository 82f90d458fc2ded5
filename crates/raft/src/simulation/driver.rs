//! The simulated driver of a replica: writes, syncs, sends, applies and advances.

use hooklug_types::NodeId;
use rand::RngExt;

use super::disk::Write;
use super::event::{Event, Packet, RunId};
use super::fault_profile::TICK_UNITS;
use super::machine::StateMachine;
use super::replica::Replica;
use super::runner::Simulation;
use super::violation::Violation;
use crate::message::{Entry, EntryKind, Message};
use crate::ready::{Ready, Snapshot};

/// Delay before the transfer of a lost snapshot is reported as failed.
const SNAPSHOT_TIMEOUT_UNITS: u64 = 15 * TICK_UNITS;

impl Simulation {
    /// Processes a replica's pending work unless earlier work is waiting for its sync.
    pub(super) fn process_ready(&mut self, node: NodeId) -> Result<(), Violation> {
        while let Some(ready) = self.take_ready(node) {
            let must_sync = ready.must_sync;
            self.send_all(node, &ready.messages_before_sync);
            let Some(replica) = self.replicas.get_mut(&node) else { return Ok(()) };
            let run = replica.current_run();
            if let Some(process) = &mut replica.process {
                process.syncing = Some(ready);
            }
            if must_sync {
                let units = self.random.random_range(0..=self.fault_profile.max_sync);
                self.events.schedule(self.now + units, Event::SyncDone(run));
                return Ok(());
            }
            self.complete_ready(run)?;
        }
        Ok(())
    }

    /// Takes the next `Ready` and starts its writes.
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

    pub(super) fn sync_done(&mut self, run: RunId) -> Result<(), Violation> {
        if self.process_in_run(run).is_none() {
            return Ok(());
        }
        let broken = self.scenario.broken_rule;
        if let Some(replica) = self.replicas.get_mut(&run.node) {
            replica.disk.sync(broken);
        }
        self.complete_ready(run)
    }

    /// Sends, applies and advances after the writes are done.
    fn complete_ready(&mut self, run: RunId) -> Result<(), Violation> {
        let Some(ready) = self.process_in_run(run).and_then(|p| p.syncing.take()) else {
            return Ok(());
        };
        self.send_all(run.node, &ready.messages);
        self.apply(run, &ready)?;
        let Some(process) = self.process_in_run(run) else { return Ok(()) };
        process.raw.advance();
        process.confirmed.extend(ready.reads);
        for context in ready.aborted_reads {
            process.reads.remove(&context);
        }
        for to in ready.snapshot_requests {
            self.send_snapshot(run, to);
        }
        self.complete_reads(run.node)
    }

    fn apply(&mut self, run: RunId, ready: &Ready) -> Result<(), Violation> {
        let node = run.node;
        let Some(replica) = self.replicas.get_mut(&node) else { return Ok(()) };
        let Some(process) = &mut replica.process else { return Ok(()) };
        if let Some(snapshot) = &ready.snapshot {
            process.machine = StateMachine::decode(&snapshot.data);
            self.totals.snapshots += 1;
            self.checker.check_state(node, process.machine)?;
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
            self.checker.check_state(node, process.machine)?;
            if process.writes.remove(&entry.index) == Some(entry.term) {
                self.totals.writes += 1;
                self.checker.record_acknowledged(entry.index);
                if is_write_after(entry, self.last_request_with_faults) {
                    self.recovered_to = Some(entry.index);
                }
            }
        }
        Ok(())
    }

    fn send_all(&mut self, sender: NodeId, messages: &[Message]) {
        let Some(sender_run) = self.replicas.get(&sender).map(Replica::current_run) else { return };
        for message in messages {
            let (from, to) = (message.from, message.to);
            for delay in
                self.network.delivery_delays(from, to, &self.fault_profile, &mut self.random)
            {
                let packet = Packet::Message(message.clone());
                self.events.schedule(self.now + delay, Event::Deliver { packet, sender_run });
            }
        }
    }

    /// Sends a snapshot of the applied state and schedules the report of the result.
    fn send_snapshot(&mut self, run: RunId, to: NodeId) {
        let Some(process) = self.process_in_run(run) else { return };
        let meta = process.raw.snapshot_meta();
        let (term, data) = (process.raw.term, process.machine.encode());
        let from = run.node;
        let packet = Packet::Snapshot { from, to, term, snapshot: Snapshot { meta, data } };
        let delays = self.network.delivery_delays(from, to, &self.fault_profile, &mut self.random);
        let arrival = delays.first().copied();
        for delay in delays {
            self.events.schedule(
                self.now + delay,
                Event::Deliver { packet: packet.clone(), sender_run: run },
            );
        }
        let (wait, sent) = match arrival {
            Some(delay) => (delay, true),
            None => (SNAPSHOT_TIMEOUT_UNITS, false),
        };
        self.events.schedule(self.now + wait, Event::ReportSnapshot { run, to, sent });
    }
}

/// Whether an entry is a client write proposed after the given request number; false without one.
fn is_write_after(entry: &Entry, request: Option<u64>) -> bool {
    let EntryKind::Command(command) = &entry.kind else { return false };
    let number = command.as_ref().try_into().map(u64::from_le_bytes);
    matches!((number, request), (Ok(number), Some(request)) if number > request)
}
