//! Validation errors of an input, collected with their locations and reported together.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// One problem in an input, with its location and a fix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// File, line and column, or a path within a document.
    pub place: String,
    /// What is wrong, such as `"count" is missing`.
    pub problem: String,
    /// What the author of the input should do, such as `write a number`.
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
    /// An empty list.
    pub fn new() -> Findings {
        Findings::default()
    }

    /// Adds a problem at `place`. Returns `self`, so that calls can be chained.
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

    /// Whether no problem was found.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// The number of problems.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// The problems in the order in which they were found.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.list.iter()
    }

    /// `Ok(value)` if no problem was found, otherwise the problems.
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
