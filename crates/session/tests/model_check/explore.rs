//! Breadth-first search over all interleavings. States are identified by a 128-bit hash.

use std::collections::{HashMap, VecDeque};
use std::fmt;

use crate::actions::Action;
use crate::scenario::Scenario;
use crate::world::World;

/// A violated invariant and the shortest trace that leads to it.
#[derive(Debug)]
pub struct Violation {
    pub description: String,
    pub trace: Vec<Action>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.description)?;
        self.trace.iter().try_for_each(|action| writeln!(f, "  {action:?}"))
    }
}

/// The result of a search.
#[derive(Debug)]
pub struct SearchResult {
    pub states: usize,
    pub transitions: usize,
    /// Number of states in which all callers have completed their steps.
    pub finished: usize,
    /// Whether all reachable states were visited.
    pub complete: bool,
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

pub fn explore(scenario: &Scenario, max_states: usize) -> SearchResult {
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
            if let Err(description) = next.apply_action(&action) {
                let violation = search.violation(description, number, Some(action));
                return search.outcome(false, Some(violation));
            }
            if let Some(new) = search.visit(&next, number, action) {
                frontier.push_back((new, next));
            }
        }
        if search.parents.len() > max_states {
            return search.outcome(false, None);
        }
    }
    let stuck = search.first_stuck();
    let violation = stuck.map(|state| {
        search.violation("the callers can no longer complete their steps".to_owned(), state, None)
    });
    search.outcome(true, violation)
}

impl Search {
    /// Records a transition, and returns the number of the state that it leads to, if that state is
    /// new.
    fn visit(&mut self, world: &World, from: u32, action: Action) -> Option<u32> {
        let next_number = u32::try_from(self.parents.len()).expect("fewer states");
        let number = *self.numbers.entry(world.hash()).or_insert(next_number);
        if number == next_number {
            self.parents.push((from, Some(action)));
            self.sources.push(Vec::new());
        }
        self.sources[number as usize].push(from);
        (number == next_number).then_some(next_number)
    }

    /// Returns the first state from which no finished state can be reached.
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

    fn violation(&self, description: String, state: u32, last: Option<Action>) -> Violation {
        let mut trace: Vec<Action> = last.into_iter().collect();
        let mut at = state;
        while let (before, Some(action)) = &self.parents[at as usize] {
            trace.push(action.clone());
            at = *before;
        }
        trace.reverse();
        Violation { description, trace }
    }

    fn outcome(self, complete: bool, violation: Option<Violation>) -> SearchResult {
        SearchResult {
            states: self.parents.len(),
            transitions: self.transitions,
            finished: self.finished.len(),
            complete,
            violation,
        }
    }
}
