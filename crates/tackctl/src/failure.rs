//! The ways in which a command can fail, with their exit codes.

use std::io;
use std::process::ExitCode;

use base::Findings;
use base::Outcome;
use conf::api::Refusal;

use crate::output;

/// Why a command failed.
#[derive(Debug)]
pub enum Failure {
    /// A reply arrived and was printed, but part of the command was not run or has an unknown
    /// outcome. Holds the outcome and the reason.
    Incomplete(Outcome, String),
    /// The input is invalid; nothing was sent.
    Findings(Findings),
    /// The command was carried out, but its output could not be written.
    Output(io::Error),
    /// A daemon refused the call.
    Refused(Box<Refusal>),
    /// The command may have been executed. Holds the reason.
    Unknown(String),
    /// No daemon could be reached. Holds the reason.
    Unreachable(String),
    /// The arguments are invalid. Holds the message, with the usage of the command.
    Usage(String),
}

impl Failure {
    /// A refusal with the outcome "not run".
    pub fn not_run(reason: impl Into<String>) -> Failure {
        Failure::Refused(Box::new(Refusal::not_run(reason)))
    }

    /// Whether the command may have been executed.
    pub fn is_unknown(&self) -> bool {
        match self {
            Failure::Refused(refusal) => refusal.outcome != Outcome::NotRun,
            Failure::Incomplete(outcome, _) => *outcome != Outcome::NotRun,
            Failure::Unknown(_) => true,
            _ => false,
        }
    }

    fn refusal(&self) -> Refusal {
        match self {
            Failure::Findings(findings) => Refusal {
                findings: findings.clone(),
                ..Refusal::not_run("the input has findings")
            },
            Failure::Incomplete(_, reason) => Refusal::not_run(reason.as_str()),
            Failure::Output(error) => Refusal::not_run(output_text(error)),
            Failure::Refused(refusal) => refusal.as_ref().clone(),
            Failure::Unknown(reason) => Refusal::unknown(reason.as_str()),
            Failure::Unreachable(reason) => Refusal::not_run(reason.as_str()),
            Failure::Usage(text) => Refusal::not_run(text.as_str()),
        }
    }

    /// The exit code, as listed in the usage text of `tackctl`.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            _ if self.is_unknown() => 6,
            Failure::Refused(r) if r.conflict.is_some() => 4,
            Failure::Refused(r) if !r.findings.is_empty() => 3,
            Failure::Incomplete(..) | Failure::Refused(_) => 1,
            Failure::Usage(_) => 2,
            Failure::Findings(_) => 3,
            Failure::Unreachable(_) => 5,
            Failure::Unknown(_) => 6,
            Failure::Output(_) => 7,
        })
    }

    /// Prints the failure to standard error and returns its exit code. With `json`, also prints it
    /// as a [`Refusal`] to standard output, unless a reply was printed there before.
    pub fn report(self, json: bool) -> ExitCode {
        if json && !matches!(self, Failure::Incomplete(..) | Failure::Output(_)) {
            let refusal = serde_json::to_string(&self.refusal());
            let line = format!("{}\n", refusal.unwrap_or_default());
            if let Err(Failure::Output(error)) = output::print(&line) {
                output::print_error(&output_text(&error));
            }
        }
        match &self {
            Failure::Findings(found) => output::print_error(&found.to_string()),
            Failure::Incomplete(outcome, reason) => {
                output::print_error(&format!("{outcome}: {reason}"))
            }
            Failure::Output(error) => output::print_error(&output_text(error)),
            Failure::Refused(refusal) => print_refusal(refusal),
            Failure::Unknown(reason) => output::print_error(&format!("unknown: {reason}")),
            Failure::Unreachable(reason) => output::print_error(&format!("not run: {reason}")),
            Failure::Usage(text) => output::print_error(text),
        }
        self.exit_code()
    }
}

fn output_text(error: &io::Error) -> String {
    format!("done, but cannot write to standard output: {error}: free it or choose another")
}

fn print_refusal(refusal: &Refusal) {
    let outcome = match refusal.outcome {
        Outcome::NotRun => "not run",
        Outcome::Ran => "ran",
        Outcome::Unknown => "unknown",
    };
    output::print_error(&format!("{outcome}: {}", refusal.reason));
    for finding in refusal.findings.iter() {
        output::print_error(&format!("  {finding}"));
    }
    if let Some(conflict) = &refusal.conflict {
        let revision = conflict.revision;
        let records = crate::render::records(&conflict.records);
        output::print_error(&format!(
            "  revision {revision} is in force; unseen changes:\n{}",
            records.trim_end_matches('\n')
        ));
    }
    if let Some(retry) = refusal.retry {
        output::print_error(&format!("  come back in {retry}"));
    }
}
