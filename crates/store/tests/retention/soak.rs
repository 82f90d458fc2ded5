//! A seeded soak: turns, idle times, changes of leader, restarts, snapshots and steps of the wall
//! clocks in random order.

use std::time::Duration;

use hooklug_state::shard::StartChainedTurn;
use hooklug_store::clock::{BUSY_INTERVAL, IDLE_INTERVAL};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::commands::{
    REQUESTED_RETENTION, RETENTION, TIME_LIMIT, is_retained, run_turn, start, turn,
};
use crate::group::Group;

const DEFAULT_SEEDS: std::ops::Range<u64> = 1..13;
const EVENTS: u32 = 120;
/// Largest errors of a wall clock: one that is well kept, and one that has stepped.
const WALL_ERRORS_MS: [i64; 2] = [2_000, 3_600_000];

/// The seeds of `SOAK_SEEDS`, or some.
fn seeds() -> Vec<u64> {
    let Ok(listed) = std::env::var("SOAK_SEEDS") else { return DEFAULT_SEEDS.collect() };
    listed.split(',').map(|seed| seed.trim().parse().expect("a seed")).collect()
}

/// A turn that was run.
#[derive(Clone)]
struct Turn {
    name: String,
    ended: Duration,
    /// The time that no store had measured until then.
    unmeasured: Duration,
}

struct Soak {
    group: Group,
    random: StdRng,
    turns: Vec<Turn>,
    /// The time that stores may not have measured so far.
    unmeasured: Duration,
}

impl Soak {
    fn new(seed: u64) -> Self {
        let random = StdRng::seed_from_u64(seed);
        Self { group: Group::new(), random, turns: Vec::new(), unmeasured: Duration::ZERO }
    }

    fn seconds(&mut self, most: u64) -> Duration {
        Duration::from_millis(self.random.random_range(0..most * 1_000))
    }

    /// Does something that may change the leader. Its duration is not measured then, nor is the time
    /// since the last step.
    fn disturb(&mut self, disturbance: impl FnOnce(&mut Group)) {
        let began = self.group.elapsed();
        disturbance(&mut self.group);
        self.unmeasured += self.group.elapsed() - began + IDLE_INTERVAL;
    }

    /// Does something; returns what.
    fn act(&mut self) -> String {
        let store = self.random.random_range(0..3);
        match self.random.random_range(0..17) {
            0..6 => self.run_turn(),
            6..9 => {
                let idle = self.seconds(5);
                self.group.advance(idle);
                format!("{idle:?} pass")
            }
            9 => {
                let idle = self.seconds(400);
                self.group.advance(idle);
                format!("idle for {idle:?}")
            }
            10 => {
                self.disturb(|group| group.elect(store));
                format!("store {store} leads")
            }
            11 => {
                let down = self.seconds(200);
                self.disturb(|group| group.restart_all(down, store));
                format!("all stores are down for {down:?}, then {store} leads")
            }
            12 => {
                self.group.take_snapshots();
                "snapshots".to_owned()
            }
            13 => {
                let down = self.seconds(40);
                self.disturb(|group| group.restart_one(store, down));
                format!("store {store} is down for {down:?}")
            }
            14 => {
                let name = format!("held-{}", self.random.random::<u64>());
                self.disturb(|group| {
                    group.hold_applier(store);
                    group.elect((store + 1) % 3);
                    run_turn(group, start(&name, &name));
                    group.elect(store);
                    group.release_applier(store);
                });
                format!("store {store} leads before it has applied all")
            }
            _ => {
                let most = WALL_ERRORS_MS[self.random.random_range(0..WALL_ERRORS_MS.len())];
                let error = self.random.random_range(-most..=most);
                self.group.set_wall_error(store, error);
                format!("the wall clock of store {store} is wrong by {error} ms")
            }
        }
    }

    fn run_turn(&mut self) -> String {
        let number = self.turns.len();
        let name = format!("turn-{number}");
        let program = format!("program-{number}");
        let recent = self.turns.last().filter(|earlier| self.is_due(earlier));
        // A turn may continue from a turn of its own program only.
        let begin = match recent {
            Some(earlier) if number % 2 == 1 => StartChainedTurn {
                after: Some(turn(&earlier.name)),
                ..start(&format!("program-{}", number - 1), &name)
            },
            _ => start(&program, &name),
        };
        run_turn(&mut self.group, begin);
        let (ended, unmeasured) = (self.group.elapsed(), self.unmeasured);
        self.turns.push(Turn { name: name.clone(), ended, unmeasured });
        format!("{name} is run")
    }

    fn is_due(&self, turn: &Turn) -> bool {
        self.group.elapsed() < turn.ended + RETENTION
    }

    /// Whether a turn must have been deleted, unless the turn after it is still kept.
    fn is_over(&self, turn: &Turn) -> bool {
        let unmeasured = self.unmeasured - turn.unmeasured;
        let longest = REQUESTED_RETENTION + TIME_LIMIT + IDLE_INTERVAL + BUSY_INTERVAL;
        self.group.elapsed() > turn.ended + longest + unmeasured
    }

    fn check(&mut self, seed: u64, history: &[String]) {
        let turns = self.turns.clone();
        for (number, turn) in turns.iter().enumerate() {
            let story = || format!("seed {seed}: {}:\n{}", turn.name, history.join("\n"));
            let is_over =
                self.is_over(turn) && turns.get(number + 1).is_none_or(|t| self.is_over(t));
            if self.is_due(turn) {
                assert!(is_retained(&mut self.group, &turn.name), "lost: {}", story());
            } else if is_over {
                assert!(!is_retained(&mut self.group, &turn.name), "kept: {}", story());
            }
        }
        assert_eq!(self.group.deleted_early(), 0, "seed {seed}:\n{}", history.join("\n"));
    }
}

/// Guards against turns that are forgotten early after any order of events.
#[test]
fn turns_are_retained_whatever_happens() {
    for seed in seeds() {
        println!("seed {seed}");
        let mut soak = Soak::new(seed);
        let mut history = Vec::new();
        for _ in 0..EVENTS {
            let event = soak.act();
            history.push(format!("{:?}: {event}", soak.group.elapsed()));
            soak.check(seed, &history);
        }
    }
}
