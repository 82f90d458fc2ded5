//! Breadth-first search over all interleavings, with states told apart by a 128-bit hash.

use std::collections::{HashMap, VecDeque};
use std::fmt;

use crate::actions::Action;
use crate::scenario::Scenario;
use crate::world::World;

/// A broken promise and the shortest way to it.
#[derive(Debug)]
pub struct Violation {
    pub what: String,
    pub trace: Vec<Action>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.what)?;
        self.trace.iter().try_for_each(|action| writeln!(f, "  {action:?}"))
    }
}

/// What a search came to.
#[derive(Debug)]
pub struct Explored {
    pub states: usize,
    pub transitions: usize,
    /// States in which all callers have what they want.
    pub finished: usize,
    /// Whether all reachable states were visited.
    pub whole: bool,
    pub violation: Option<Violation>,
}

struct Search {
    numbers: HashMap<u128, u32>,
    /// The state before each state, and the action between them.
    parents: Vec<(u32, Option<Action>)>,
    /// States from which each state is reached in one step.
    sources: Vec<Vec<u32>>,
    finished: Vec<u32>,
    transitions: usize,
}

pub fn explore(scenario: &Scenario, most: usize) -> Explored {
    let start = World::new(scenario);
    let mut search = Search {
        numbers: HashMap::from([(start.hash(), 0)]),
        parents: vec![(0, None)],
        sources: vec![Vec::new()],
        finished: Vec::new(),
        transitions: 0,
    };
    let mut frontier = VecDeque::from([(0_u32, start)]);
    while let Some((number, world)) = frontier.pop_front() {
        if world.is_finished() {
            search.finished.push(number);
        }
        for action in world.actions() {
            let mut next = world.clone();
            search.transitions += 1;
            if let Err(what) = next.act(&action) {
                let violation = search.violation(what, number, Some(action));
                return search.outcome(false, Some(violation));
            }
            if let Some(new) = search.visit(&next, number, action) {
                frontier.push_back((new, next));
            }
        }
        if search.parents.len() > most {
            return search.outcome(false, None);
        }
    }
    let stuck = search.first_stuck();
    let violation = stuck.map(|state| {
        search.violation("the callers can't come to their end any more".to_owned(), state, None)
    });
    search.outcome(true, violation)
}

impl Search {
    /// Notes a step; the number of the state that it leads to, if that is new.
    fn visit(&mut self, world: &World, from: u32, action: Action) -> Option<u32> {
        let fresh = u32::try_from(self.parents.len()).expect("fewer states");
        let number = *self.numbers.entry(world.hash()).or_insert(fresh);
        if number == fresh {
            self.parents.push((from, Some(action)));
            self.sources.push(Vec::new());
        }
        self.sources[number as usize].push(from);
        (number == fresh).then_some(fresh)
    }

    /// The first state from which no finished state can be reached.
    fn first_stuck(&self) -> Option<u32> {
        let mut can_finish = vec![false; self.parents.len()];
        let mut reached = self.finished.clone();
        while let Some(state) = reached.pop() {
            if !std::mem::replace(&mut can_finish[state as usize], true) {
                reached.extend(&self.sources[state as usize]);
            }
        }
        let stuck = can_finish.iter().position(|can| !can)?;
        u32::try_from(stuck).ok()
    }

    fn violation(&self, what: String, state: u32, last: Option<Action>) -> Violation {
        let mut trace: Vec<Action> = last.into_iter().collect();
        let mut at = state;
        while let (before, Some(action)) = &self.parents[at as usize] {
            trace.push(action.clone());
            at = *before;
        }
        trace.reverse();
        Violation { what, trace }
    }

    fn outcome(self, whole: bool, violation: Option<Violation>) -> Explored {
        Explored {
            states: self.parents.len(),
            transitions: self.transitions,
            finished: self.finished.len(),
            whole,
            violation,
        }
    }
}
