//! Table of settings: name, levels, type, default and description of each.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use crate::tree::place::Level;
use crate::tree::place::Level::Domain;
use crate::tree::place::Level::Kind;
use crate::tree::place::Level::Org;
use crate::tree::place::Level::OrgDomain;
use crate::tree::place::Level::Site;
use crate::tree::value::Type;
use crate::tree::value::Value;

quick_error! {
    /// Error of parsing a [`Key`].
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum KeyError {
        /// There is no setting with this name.
        Unknown(text: String) {
            display("there is no setting {text:?}")
        }
    }
}

/// Default of a setting, in a form that can be built in a constant table.
enum DefaultValue {
    Flag(bool),
    Number(u64),
    Shapes,
    Word(&'static str),
}

macro_rules! keys {
    ($($key:ident = $name:literal, [$($level:ident),*], $kind:expr, $default:expr, $doc:literal;)*) => {
        /// A setting of the operators' tree.
        #[derive(
            Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub enum Key {
            $(#[doc = $doc] $key,)*
        }

        impl Key {
            /// Every setting, in table order.
            pub const ALL: &'static [Key] = &[$(Key::$key,)*];

            /// Name of the setting.
            pub fn name(self) -> &'static str {
                match self {
                    $(Key::$key => $name,)*
                }
            }

            /// Levels at which the setting can be set.
            pub fn levels(self) -> &'static [Level] {
                match self {
                    $(Key::$key => &[$($level),*],)*
                }
            }

            /// Type of the value, with its limits.
            pub fn kind(self) -> Type {
                match self {
                    $(Key::$key => $kind,)*
                }
            }

            /// Description for operators.
            pub fn doc(self) -> &'static str {
                match self {
                    $(Key::$key => $doc,)*
                }
            }

            fn table_default(self) -> DefaultValue {
                match self {
                    $(Key::$key => $default,)*
                }
            }
        }
    };
}

keys! {
    BypassBound = "bypass-bound", [Site, Domain],
        Type::Number("ms", 0, 86_400_000), DefaultValue::Number(600_000),
        "Longest time for which smaller jobs may start before a waiting larger one.";
    CheckpointEvery = "checkpoint-every", [Site, Domain, Org, OrgDomain, Kind],
        Type::Number("ms", 1_000, 86_400_000), DefaultValue::Number(300_000),
        "Time between checkpoints of a job that can checkpoint.";
    CheckpointWait = "checkpoint-wait", [Site, Domain, Org, OrgDomain, Kind],
        Type::Number("ms", 0, 600_000), DefaultValue::Number(10_000),
        "Longest wait for a checkpoint before a running job is stopped.";
    FairShare = "fair-share", [Site, Org, OrgDomain],
        Type::Number("", 1, 1_000), DefaultValue::Number(100),
        "Weight of the organisation's requests when upstreams are full.";
    Guarantees = "guarantees", [OrgDomain],
        Type::Shapes, DefaultValue::Shapes,
        "Shapes that the organisation can claim at any time in the failure domain.";
    IsolateShare = "isolate-share", [Site, Domain],
        Type::Number("percent", 0, 100), DefaultValue::Number(20),
        "Most of a failure domain's workers that may be isolated at once for failing.";
    JobsMax = "jobs-max", [Site, Org],
        Type::Number("", 1, 100_000), DefaultValue::Number(10_000),
        "Most jobs of the organisation that have not ended.";
    MaxBody = "max-body", [Site, Org],
        Type::Number("bytes", 1_024, 268_435_456), DefaultValue::Number(1_048_576),
        "Largest body of a request.";
    OnOut = "on-out", [Site, Domain, Org, OrgDomain, Kind],
        Type::Word(&["finish", "move"]), DefaultValue::Word("move"),
        "What becomes of running jobs when their failure domain is taken out: they finish there, or those that can be stopped move.";
    Out = "out", [Domain],
        Type::Flag, DefaultValue::Flag(false),
        "Whether the failure domain is out of service: no task starts in it.";
    QuotaAccels = "quota-accels", [Site, Org, OrgDomain],
        Type::Number("", 0, 1_000_000), DefaultValue::Number(1_000_000),
        "Most accelerators that the organisation may hold at once in a failure domain.";
    RequestDeadlineMax = "request-deadline-max", [Site, Org],
        Type::Number("ms", 10, 3_600_000), DefaultValue::Number(60_000),
        "Longest deadline that a request may ask for.";
    RetryBudget = "retry-budget", [Site, Domain, Org],
        Type::Number("percent", 0, 100), DefaultValue::Number(10),
        "Retries allowed as a share of first attempts.";
    ReturnPace = "return-pace", [Site, Domain],
        Type::Number("starts/s", 1, 10_000), DefaultValue::Number(20),
        "Most starts a second in a failure domain that has just come back.";
    StartsOffline = "starts-offline", [Site, Domain],
        Type::Word(&["all-heard", "never"]), DefaultValue::Word("never"),
        "Whether tasks start while the platform is down: never, or while every live daemon is heard.";
    UrgentAllowed = "urgent-allowed", [Site, Org, OrgDomain, Kind],
        Type::Flag, DefaultValue::Flag(true),
        "Whether jobs may be urgent.";
    Weight = "weight", [Site, Org, OrgDomain],
        Type::Number("", 1, 1_000), DefaultValue::Number(100),
        "Weight of the organisation's jobs for accelerators that no guarantee needs.";
}

impl Key {
    /// Value that applies where none is set.
    pub fn default_value(self) -> Value {
        match self.table_default() {
            DefaultValue::Flag(flag) => Value::Flag(flag),
            DefaultValue::Number(num) => Value::Number(num),
            DefaultValue::Shapes => Value::Shapes(Vec::new()),
            DefaultValue::Word(word) => Value::Word(word.to_string()),
        }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Key {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Key, KeyError> {
        let key = Key::ALL.iter().find(|k| k.name() == text);
        key.copied()
            .ok_or_else(|| KeyError::Unknown(text.to_string()))
    }
}

impl TryFrom<String> for Key {
    type Error = KeyError;

    fn try_from(text: String) -> Result<Key, KeyError> {
        text.parse()
    }
}

impl From<Key> for String {
    fn from(key: Key) -> String {
        key.name().to_string()
    }
}
