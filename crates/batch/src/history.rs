//! The latest decisions on each job, for operators who ask why it waits, was stopped or failed.

use std::collections::VecDeque;

use base::JobId;
use base::Map;
use base::Millis;

/// Most decisions that are kept of one job.
const MAX_EACH: usize = 16;

/// Most jobs of which decisions are kept; the one whose first decision is oldest goes first.
const MAX_JOBS: usize = 4_096;

/// Longest text that is kept of a decision, in bytes.
const MAX_TEXT: usize = 400;

/// A decision on a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// When it was made.
    pub at: Millis,
    /// What was decided, and why.
    pub text: String,
}

/// Decisions on jobs, bounded in number and size.
#[derive(Debug, Default)]
pub struct History {
    jobs: Map<JobId, VecDeque<Decision>>,
    /// The jobs in the order of their first decision.
    order: VecDeque<JobId>,
}

impl History {
    /// Records a decision. A text that is too long is cut.
    pub fn record(&mut self, job: &JobId, text: &str, at: Millis) {
        if !self.jobs.contains_key(job) {
            if self.order.len() >= MAX_JOBS {
                if let Some(oldest) = self.order.pop_front() {
                    self.jobs.remove(&oldest);
                }
            }
            self.order.push_back(job.clone());
        }
        let decisions = self.jobs.entry(job.clone()).or_default();
        if decisions.len() >= MAX_EACH {
            decisions.pop_front();
        }
        decisions.push_back(Decision {
            at,
            text: shorten(text),
        });
    }

    /// The decisions on a job, the latest last.
    pub fn of(&self, job: &JobId) -> impl Iterator<Item = &Decision> {
        self.jobs.get(job).into_iter().flatten()
    }
}

fn shorten(text: &str) -> String {
    if text.len() <= MAX_TEXT {
        return text.to_string();
    }
    let end = (0..=MAX_TEXT).rev().find(|&at| text.is_char_boundary(at));
    format!("{}...", &text[..end.unwrap_or(0)])
}
