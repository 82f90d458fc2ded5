//! One shard with three replicas, without I/O: the test sets the time, the order of events and the
//! errors of the stores' wall clocks. Replicas, state machines and clocks are those of a store.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hooklug_raft::{
    ConfState, Config, Entry, EntryKind, HardState, Message, RawNode, Restored, Snapshot,
    SnapshotMeta,
};
use hooklug_replication::{CommittedEntry, Replica, Reply, split_batch};
use hooklug_state::shard::{ShardAnswer, ShardCommand, ShardQuery, ShardReply};
use hooklug_state::{StateMachine, decode, encode};
use hooklug_store::observations::Observations;
use hooklug_store::time_source::TimeSource;
use hooklug_types::{GroupId, NodeId, UnixMillis};
use hooklug_wal::Record;

use crate::commands::RETENTION;

const SHARD: GroupId = GroupId(1);
const STORES: usize = 3;
const TICK: Duration = Duration::from_millis(250);
/// Ticks within which a store becomes the leader.
const MAX_ELECTION_TICKS: u32 = 1_000;
/// True wall time at the start of each test.
const WALL_START: UnixMillis = UnixMillis(1_800_000_000_000);
/// Retention time of the records of ordinary sessions and calls, the same as that of turns.
pub const RECORD_RETENTION: Duration = RETENTION;

/// Time since the start of the test, shared by all stores.
#[derive(Debug)]
struct TrueTime {
    origin: Instant,
    elapsed_ms: AtomicU64,
}

impl TrueTime {
    fn elapsed(&self) -> Duration {
        Duration::from_millis(self.elapsed_ms.load(Ordering::Relaxed))
    }
}

/// Clocks of one store; the wall clock has an error.
#[derive(Debug)]
struct StoreClocks {
    time: Arc<TrueTime>,
    wall_error_ms: AtomicI64,
}

impl TimeSource for StoreClocks {
    fn monotonic(&self) -> Instant {
        self.time.origin + self.time.elapsed()
    }

    fn wall(&self) -> UnixMillis {
        let exact = WALL_START.plus(self.time.elapsed());
        UnixMillis(exact.0.saturating_add_signed(self.wall_error_ms.load(Ordering::Relaxed)))
    }
}

/// What a store has on its disk.
struct Disk {
    hard_state: HardState,
    snapshot: SnapshotMeta,
    state: Vec<u8>,
    entries: Vec<Entry>,
    /// Bytes of the commands in all entries that were ever appended.
    appended_bytes: u64,
}

impl Disk {
    fn persist(&mut self, record: Record) {
        match record {
            Record::HardState(hard_state) => self.hard_state = hard_state,
            Record::Append(entries) => {
                let first = entries[0].index;
                self.entries.retain(|entry| entry.index < first);
                self.appended_bytes += entries.iter().map(command_bytes).sum::<u64>();
                self.entries.extend(entries);
            }
            // The snapshot itself is persisted before.
            Record::Snapshot(_) => {}
            Record::Removed => unreachable!("replicas are never removed"),
        }
    }
}

impl Disk {
    fn install(&mut self, snapshot: Snapshot) {
        let index = snapshot.meta.index;
        self.entries.retain(|entry| entry.index > index);
        (self.snapshot, self.state) = (snapshot.meta, snapshot.data.to_vec());
    }
}

fn store_of(node: NodeId) -> usize {
    usize::try_from(node.0 - 1).expect("a store")
}

fn command_bytes(entry: &Entry) -> u64 {
    match &entry.kind {
        EntryKind::Command(batch) => batch.len() as u64,
        EntryKind::ConfChange(_) | EntryKind::Noop => 0,
    }
}

struct Store {
    node: NodeId,
    clocks: Arc<StoreClocks>,
    disk: Disk,
    process: Option<Process>,
    /// Replicas that wait for a snapshot of this one.
    requested_snapshots: Vec<NodeId>,
}

/// What a store loses when it stops.
struct Process {
    observations: Observations,
    replica: Replica,
    machine: Box<dyn StateMachine>,
    applied: SnapshotMeta,
    /// Committed entries that the applier has not applied yet, while it is held.
    held: Option<Vec<CommittedEntry>>,
}

impl Store {
    fn start(&mut self) {
        let observations = Observations::new(self.clocks.clone());
        let mut machine = observations.machine(SHARD, RECORD_RETENTION);
        machine.restore(&self.disk.state).expect("the state of the disk");
        let config = Config {
            id: self.node,
            election_ticks: 10,
            heartbeat_ticks: 2,
            max_append_bytes: 1 << 20,
            max_inflight: 16,
            seed: self.node.0,
        };
        let applied = self.disk.snapshot.clone();
        let restored = Restored {
            hard_state: self.disk.hard_state,
            snapshot: applied.clone(),
            entries: self.disk.entries.clone(),
        };
        let node = RawNode::new(config, restored).expect("a consistent disk");
        let replica = Replica::new(SHARD, node, self.disk.hard_state, Some(applied.clone()))
            .with_clock(observations.clock_source(SHARD));
        self.process = Some(Process { observations, replica, machine, applied, held: None });
    }

    /// Processes all work of the replica; returns the messages to send.
    fn work(&mut self) -> Vec<Message> {
        let now = self.clocks.monotonic();
        let Some(process) = &mut self.process else { return Vec::new() };
        let mut sent = Vec::new();
        while let Some(work) = process.replica.next_work(now) {
            self.requested_snapshots.extend(work.snapshot_requests);
            sent.extend(work.messages_before_sync);
            if let Some(snapshot) = work.snapshot {
                process.machine.restore(&snapshot.data).expect("a state");
                process.applied = snapshot.meta.clone();
                self.disk.install(snapshot);
            }
            work.records.into_iter().for_each(|record| self.disk.persist(record));
            for committed in work.committed {
                process.commit(committed);
            }
            sent.extend(work.messages);
            if work.sync {
                sent.extend(process.replica.persisted(now));
            }
        }
        sent
    }
}

impl Process {
    fn commit(&mut self, committed: CommittedEntry) {
        match &mut self.held {
            Some(held) => held.push(committed),
            None => self.apply(committed),
        }
    }

    fn apply(&mut self, committed: CommittedEntry) {
        let CommittedEntry { entry, replies } = committed;
        let mut replies = replies.into_iter();
        if let EntryKind::Command(batch) = &entry.kind {
            for command in split_batch(batch) {
                let result = self.machine.apply(command.expect("a command")).expect("a reply");
                if let Some(reply) = replies.next() {
                    reply.send(Ok(result));
                }
            }
        }
        (self.applied.index, self.applied.term) = (entry.index, entry.term);
    }
}

/// The simulated group.
pub struct Group {
    time: Arc<TrueTime>,
    stores: Vec<Store>,
    messages: VecDeque<Message>,
}

impl Group {
    /// Creates an empty group that is led by the first store.
    pub fn new() -> Self {
        let time = Arc::new(TrueTime { origin: Instant::now(), elapsed_ms: AtomicU64::new(0) });
        let voters = (1..=STORES as u64).map(NodeId).collect();
        let conf = ConfState { voters, learners: [].into() };
        let snapshot = SnapshotMeta { index: 1, term: 1, conf };
        let store = |node| {
            let clocks =
                Arc::new(StoreClocks { time: time.clone(), wall_error_ms: AtomicI64::new(0) });
            let state = Observations::new(clocks.clone()).machine(SHARD, RECORD_RETENTION);
            let disk = Disk {
                hard_state: HardState { term: 1, vote: None, commit: 1 },
                snapshot: snapshot.clone(),
                state: state.snapshot(),
                entries: Vec::new(),
                appended_bytes: 0,
            };
            Store { node, clocks, disk, process: None, requested_snapshots: Vec::new() }
        };
        let stores = (1..=STORES as u64).map(|node| store(NodeId(node))).collect();
        let mut group = Self { time, stores, messages: VecDeque::new() };
        group.stores.iter_mut().for_each(Store::start);
        group.elect(0);
        group
    }

    /// Time since the start of the test.
    pub fn elapsed(&self) -> Duration {
        self.time.elapsed()
    }

    /// True wall time.
    pub fn wall(&self) -> UnixMillis {
        WALL_START.plus(self.elapsed())
    }

    /// Sets the error of a store's wall clock.
    pub fn set_wall_error(&self, store: usize, millis: i64) {
        self.stores[store].clocks.wall_error_ms.store(millis, Ordering::Relaxed);
    }

    /// Lets time pass.
    pub fn advance(&mut self, span: Duration) {
        let end = self.elapsed() + span;
        while self.elapsed() < end {
            let step = TICK.min(end - self.elapsed());
            self.pass(step);
            for store in &mut self.stores {
                let now = store.clocks.monotonic();
                if let Some(process) = &mut store.process {
                    process.replica.tick(now);
                }
            }
            self.settle();
        }
    }

    fn pass(&self, span: Duration) {
        let millis = u64::try_from(span.as_millis()).expect("a short time");
        self.time.elapsed_ms.fetch_add(millis, Ordering::Relaxed);
    }

    /// Makes a store the leader.
    pub fn elect(&mut self, store: usize) {
        for _ in 0..MAX_ELECTION_TICKS {
            match self.leader() {
                Some(leader) if leader == store => return,
                Some(leader) => {
                    let target = self.stores[store].node;
                    let transferred = self.replica(leader).transfer_leadership(target);
                    drop(transferred); // It is refused until the target is up to date.
                }
                None => self.replica(store).campaign(),
            }
            self.settle();
            if self.leader() != Some(store) {
                self.advance(TICK);
            }
        }
        panic!("store {store} did not become the leader");
    }

    /// Number of programs that stores have noticed to be deleted early, since they were started.
    pub fn deleted_early(&self) -> u64 {
        let processes = self.stores.iter().filter_map(|store| store.process.as_ref());
        processes.map(|process| process.observations.deleted_early()).sum()
    }

    /// Appends a step of the clock that the leader has not measured, as a faulty leader would.
    pub fn jump(&mut self, span: Duration) {
        let now = self.wall().plus(span);
        self.execute(&ShardCommand::AdvanceClock { now });
    }

    /// Makes a store apply nothing that is committed from now on, as if its applier thread got no
    /// processor time.
    pub fn hold_applier(&mut self, store: usize) {
        self.process(store).held.get_or_insert_default();
    }

    /// Lets a store apply what it has held back.
    pub fn release_applier(&mut self, store: usize) {
        let process = self.process(store);
        for committed in process.held.take().unwrap_or_default() {
            process.apply(committed);
        }
    }

    fn process(&mut self, store: usize) -> &mut Process {
        self.stores[store].process.as_mut().expect("a running store")
    }

    fn replica(&mut self, store: usize) -> &mut Replica {
        &mut self.process(store).replica
    }

    /// The store that leads under the highest term.
    pub fn leader(&self) -> Option<usize> {
        let leads = |store: &Store| store.process.as_ref().is_some_and(|p| p.replica.leads());
        let leaders = (0..STORES).filter(|store| leads(&self.stores[*store]));
        leaders.max_by_key(|store| self.stores[*store].disk.hard_state.term)
    }

    /// Stops all stores, starts them again after a while, and makes one the leader.
    pub fn restart_all(&mut self, down: Duration, leader: usize) {
        self.messages.clear();
        for store in &mut self.stores {
            store.process = None;
            store.requested_snapshots.clear();
        }
        self.pass(down);
        self.stores.iter_mut().for_each(Store::start);
        self.elect(leader);
    }

    /// Stops a store that doesn't lead and starts it again after a while.
    pub fn restart_one(&mut self, store: usize, down: Duration) {
        self.stores[store].process = None;
        self.advance(down);
        self.stores[store].start();
        self.settle();
    }

    /// Replaces the applied entries on all disks by a snapshot of the state.
    pub fn take_snapshots(&mut self) {
        for store in &mut self.stores {
            let Some(process) = &store.process else { continue };
            store.disk.state = process.machine.snapshot();
            store.disk.snapshot = process.applied.clone();
            let index = process.applied.index;
            store.disk.entries.retain(|entry| entry.index > index);
        }
    }

    /// Bytes of commands that a store has appended to its log since the start of the test.
    pub fn appended_bytes(&self, store: usize) -> u64 {
        self.stores[store].disk.appended_bytes
    }

    /// Executes a command at the leader.
    pub fn execute(&mut self, command: &ShardCommand) -> ShardReply {
        let leader = self.wait_for_leader();
        let slot = Arc::new(Mutex::new(None));
        let outcome = slot.clone();
        let process = self.stores[leader].process.as_mut().expect("the leader runs");
        let reply = Reply::new(move |result| *outcome.lock().unwrap() = Some(result));
        process.replica.propose(&encode(command), reply);
        self.settle();
        let result = slot.lock().unwrap().take().expect("an outcome").expect("a result");
        decode("reply", &result).expect("a reply")
    }

    /// Answers a query at the leader.
    pub fn query(&mut self, query: &ShardQuery) -> ShardAnswer {
        let leader = self.wait_for_leader();
        let process = self.stores[leader].process.as_ref().expect("the leader runs");
        decode("answer", &process.machine.query(&encode(query)).expect("an answer"))
            .expect("an answer")
    }

    fn wait_for_leader(&mut self) -> usize {
        loop {
            if let Some(leader) = self.leader() {
                return leader;
            }
            self.advance(TICK);
        }
    }

    fn send_snapshots(&mut self, from: usize) {
        let sender = self.stores[from].node;
        for to in std::mem::take(&mut self.stores[from].requested_snapshots) {
            let disk = &self.stores[from].disk;
            let term = disk.hard_state.term;
            let (meta, data) = (disk.snapshot.clone(), disk.state.clone());
            let receiver = &mut self.stores[store_of(to)];
            let now = receiver.clocks.monotonic();
            let sent = receiver.process.as_mut().map(|process| {
                let snapshot = Snapshot { meta, data };
                process.replica.receive_snapshot(sender, term, snapshot, now);
            });
            if let Some(process) = &mut self.stores[from].process {
                process.replica.report_snapshot(to, sent.is_some());
            }
        }
    }

    /// Processes all work and delivers all messages.
    fn settle(&mut self) {
        loop {
            let sent: Vec<Message> = self.stores.iter_mut().flat_map(Store::work).collect();
            self.messages.extend(sent);
            (0..STORES).for_each(|store| self.send_snapshots(store));
            let Some(message) = self.messages.pop_front() else { return };
            let store = store_of(message.to);
            let now = self.stores[store].clocks.monotonic();
            if let Some(process) = &mut self.stores[store].process {
                process.replica.step(message, now);
            }
        }
    }
}
