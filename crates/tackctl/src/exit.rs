//! Kinds of failure and their exit codes.

use std::process::ExitCode;

use base::Findings;
use base::Outcome;
use conf::api::Refusal;

/// Why a command failed.
#[derive(Debug)]
pub enum Failure {
    /// The reply, already printed, tells of something that was not run or is unknown.
    Printed(Outcome, String),
    /// The input has findings; nothing was sent.
    Findings(Findings),
    /// A daemon refused.
    Refused(Box<Refusal>),
    /// It may have been carried out. Holds the reason.
    Unknown(String),
    /// No daemon was reached. Holds the reason.
    Unreachable(String),
    /// Wrong usage. Holds the explanation.
    Usage(String),
}

impl Failure {
    /// A refusal of something that did not run.
    pub fn not_run(reason: impl Into<String>) -> Failure {
        Failure::Refused(Box::new(Refusal::not_run(reason)))
    }

    /// Whether it may have been carried out.
    pub fn is_unknown(&self) -> bool {
        match self {
            Failure::Refused(refusal) => refusal.outcome != Outcome::NotRun,
            Failure::Printed(outcome, _) => *outcome != Outcome::NotRun,
            Failure::Unknown(_) => true,
            _ => false,
        }
    }

    fn refusal(&self) -> Refusal {
        match self {
            Failure::Findings(found) => Refusal {
                findings: found.clone(),
                ..Refusal::not_run("the input has findings")
            },
            Failure::Printed(_, reason) => Refusal::not_run(reason.as_str()),
            Failure::Refused(refusal) => refusal.as_ref().clone(),
            Failure::Unknown(reason) => Refusal::unknown(reason.as_str()),
            Failure::Unreachable(reason) => Refusal::not_run(reason.as_str()),
            Failure::Usage(text) => Refusal::not_run(text.as_str()),
        }
    }

    /// The exit code.
    pub fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            _ if self.is_unknown() => 6,
            Failure::Refused(r) if r.conflict.is_some() => 4,
            Failure::Refused(r) if !r.findings.is_empty() => 3,
            Failure::Printed(..) | Failure::Refused(_) => 1,
            Failure::Usage(_) => 2,
            Failure::Findings(_) => 3,
            Failure::Unreachable(_) => 5,
            Failure::Unknown(_) => 6,
        })
    }

    /// Prints the failure, as a [`Refusal`] in JSON if asked for, and returns its exit code.
    pub fn report(self, json: bool) -> ExitCode {
        if json && !matches!(self, Failure::Printed(..)) {
            let refusal = serde_json::to_string(&self.refusal());
            println!("{}", refusal.unwrap_or_default());
        }
        match &self {
            Failure::Findings(found) => eprintln!("{found}"),
            Failure::Printed(outcome, reason) => eprintln!("{outcome}: {reason}"),
            Failure::Refused(refusal) => report_refusal(refusal),
            Failure::Unknown(reason) => eprintln!("unknown: {reason}"),
            Failure::Unreachable(reason) => eprintln!("not run: {reason}"),
            Failure::Usage(text) => eprintln!("{text}"),
        }
        self.code()
    }
}

fn report_refusal(refusal: &Refusal) {
    let outcome = match refusal.outcome {
        Outcome::NotRun => "not run",
        Outcome::Ran => "ran",
        Outcome::Unknown => "unknown",
    };
    eprintln!("{outcome}: {}", refusal.reason);
    for finding in refusal.findings.iter() {
        eprintln!("  {finding}");
    }
    if let Some(conflict) = &refusal.conflict {
        eprintln!(
            "  revision {} is in force; unseen changes:",
            conflict.revision
        );
        eprint!("{}", crate::show::records(&conflict.records));
    }
    if let Some(retry) = refusal.retry {
        eprintln!("  come back in {retry}");
    }
}
