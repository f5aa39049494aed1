//! Sizes and rates, each kind with a type of its own.

use std::fmt;
use std::iter::Sum;
use std::ops::Add;
use std::ops::AddAssign;
use std::ops::Sub;
use std::str::FromStr;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

quick_error! {
    /// A text that is not a valid size or rate.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum SizeError {
        /// The kind of size expected and the text that was given.
        Malformed(kind: &'static str, text: String) {
            display("{text:?} is not a valid {kind}")
        }
    }
}

macro_rules! size {
    ($(#[$doc:meta] $name:ident, $num:ty, $kind:literal;)*) => {$(
        #[$doc]
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $num);

        impl Add for $name {
            type Output = $name;

            fn add(self, other: $name) -> $name {
                $name(self.0.saturating_add(other.0))
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: $name) {
                *self = *self + other;
            }
        }

        impl Sub for $name {
            type Output = $name;

            fn sub(self, other: $name) -> $name {
                $name(self.0.saturating_sub(other.0))
            }
        }

        impl Sum for $name {
            fn sum<I: Iterator<Item = $name>>(iter: I) -> $name {
                iter.fold($name(0), Add::add)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = SizeError;

            fn from_str(text: &str) -> Result<$name, SizeError> {
                let parsed = text.parse().map($name);
                parsed.map_err(|_| SizeError::Malformed($kind, text.to_string()))
            }
        }
    )*};
}

size! {
    /// A number of accelerators.
    Accels, u32, "number of accelerators";
    /// A number of bytes.
    Bytes, u64, "number of bytes";
    /// A number of processor cores.
    Cores, u32, "number of cores";
}

/// A rate in events per second.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Rate(pub f64);

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = SizeError;

    /// Parses `12.5` or `12.5/s`.
    fn from_str(text: &str) -> Result<Rate, SizeError> {
        let num = text.strip_suffix("/s").unwrap_or(text);
        let parsed = num
            .parse()
            .ok()
            .filter(|n: &f64| n.is_finite() && *n >= 0.0);
        parsed
            .map(Rate)
            .ok_or_else(|| SizeError::Malformed("rate", text.to_string()))
    }
}
