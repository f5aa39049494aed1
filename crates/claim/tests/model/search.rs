//! Breadth-first search over all orders of events.

use base::Set;

use super::system::Event;
use super::system::System;

/// Result of a search.
#[derive(Debug, Default)]
pub struct SearchResult {
    /// Number of distinct states.
    pub states: usize,
    /// Number of events applied.
    pub steps: usize,
    /// Longest sequence of events searched completely.
    pub depth: usize,
    /// Whether all reachable states were visited.
    pub exhaustive: bool,
    /// The first violation and the events that led to it.
    pub violation: Option<(String, Vec<Event>)>,
}

/// Searches sequences of up to `depth` events until about `limit` states were visited.
pub fn search(system: System, depth: usize, limit: usize) -> SearchResult {
    let mut result = SearchResult::default();
    let mut seen: Set<u64> = Set::default();
    let mut parents: Vec<(usize, Event)> = Vec::new();
    seen.insert(system.digest());
    let mut front = vec![(system, usize::MAX)];
    while !front.is_empty() && result.depth < depth {
        let mut next = Vec::new();
        for (system, parent) in front {
            for event in system.events() {
                let mut child = system.clone();
                child.apply(&event);
                result.steps += 1;
                if let Some(problem) = child.violation.take() {
                    let trace = trace(&parents, parent, event);
                    result.states = seen.len();
                    result.violation = Some((problem, trace));
                    return result;
                }
                if seen.insert(child.digest()) {
                    parents.push((parent, event));
                    next.push((child, parents.len() - 1));
                }
            }
            if seen.len() >= limit {
                result.states = seen.len();
                return result;
            }
        }
        result.depth += 1;
        front = next;
    }
    result.exhaustive = front.is_empty();
    result.states = seen.len();
    result
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
