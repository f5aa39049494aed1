//! Findings: problems of an input, collected with their place and reported together.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// One problem: where it is, what is wrong and what to do about it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// File with line and column, or a path within a document.
    pub place: String,
    /// What is wrong.
    pub problem: String,
    /// What puts it right.
    pub remedy: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.place, self.problem, self.remedy)
    }
}

/// All problems of one input, in the order in which they were found.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Findings {
    list: Vec<Finding>,
}

impl Findings {
    /// No findings.
    pub fn new() -> Findings {
        Findings::default()
    }

    /// Adds a problem.
    pub fn add(
        &mut self,
        place: impl Into<String>,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) -> &mut Findings {
        self.list.push(Finding {
            place: place.into(),
            problem: problem.into(),
            remedy: remedy.into(),
        });
        self
    }

    /// Adds all problems of `other`.
    pub fn append(&mut self, mut other: Findings) {
        self.list.append(&mut other.list);
    }

    /// Whether there is no problem.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// The number of problems.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// The problems in order.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.list.iter()
    }

    /// `Ok(value)` without problems, the problems otherwise.
    pub fn into_result<T>(self, value: T) -> Result<T, Findings> {
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.list.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
