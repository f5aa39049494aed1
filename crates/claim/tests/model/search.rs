//! Breadth-first search over all orders of events.

use base::Set;

use super::world::Event;
use super::world::World;

/// What a search saw.
#[derive(Debug, Default)]
pub struct Found {
    /// Distinct states.
    pub states: usize,
    /// Events carried out.
    pub steps: usize,
    /// Longest sequence of events searched completely.
    pub depth: usize,
    /// Whether every reachable state was seen.
    pub whole: bool,
    /// The first violation and the events that led to it.
    pub broken: Option<(String, Vec<Event>)>,
}

/// Searches all sequences of up to `depth` events and at most `limit` states.
pub fn search(world: World, depth: usize, limit: usize) -> Found {
    let mut found = Found::default();
    let mut seen: Set<u64> = Set::default();
    let mut parents: Vec<(usize, Event)> = Vec::new();
    seen.insert(world.hash());
    let mut front = vec![(world, usize::MAX)];
    while !front.is_empty() && found.depth < depth {
        let mut next = Vec::new();
        for (world, parent) in front {
            for event in world.events() {
                let mut child = world.clone();
                child.apply(&event);
                found.steps += 1;
                if let Some(problem) = child.broken.take() {
                    let trace = trace(&parents, parent, event);
                    found.states = seen.len();
                    found.broken = Some((problem, trace));
                    return found;
                }
                if seen.insert(child.hash()) {
                    parents.push((parent, event));
                    next.push((child, parents.len() - 1));
                }
            }
            if seen.len() >= limit {
                found.states = seen.len();
                return found;
            }
        }
        found.depth += 1;
        front = next;
    }
    found.whole = front.is_empty();
    found.states = seen.len();
    found
}

fn trace(parents: &[(usize, Event)], mut at: usize, last: Event) -> Vec<Event> {
    let mut events = vec![last];
    while let Some((parent, event)) = parents.get(at) {
        events.push(event.clone());
        at = *parent;
    }
    events.reverse();
    events
}
