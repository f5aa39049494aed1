//! Values of settings, and the types that they are validated against.

use std::fmt;

use base::Findings;
use base::Shape;
use serde::Deserialize;
use serde::Serialize;

/// Largest number of guaranteed shapes of an organisation in one failure domain.
pub const MAX_SHAPES: usize = 64;
/// Largest number of copies of a guaranteed shape.
pub const MAX_COPIES: u32 = 4096;
/// Largest number of tasks of a shape.
pub const MAX_TASKS: u32 = 4096;
/// Largest number of accelerators of one task.
pub const MAX_ACCELS: u32 = 1024;

/// A shape that an organisation can claim at any time, with the number of copies.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// Guaranteed shape.
    pub shape: Shape,
    /// Number of copies that can run at the same time.
    pub count: u32,
}

/// Value of a setting; in JSON `true`, `12`, `"move"` or a list of guarantees.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Value {
    /// A boolean.
    Flag(bool),
    /// A count, a percentage, milliseconds or bytes.
    Number(u64),
    /// One of the words that the setting allows.
    Word(String),
    /// A list of guaranteed shapes.
    Shapes(Vec<Guarantee>),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Flag(flag) => flag.fmt(f),
            Value::Number(num) => num.fmt(f),
            Value::Word(word) => f.write_str(word),
            Value::Shapes(list) => write_shapes(f, list),
        }
    }
}

fn write_shapes(f: &mut fmt::Formatter<'_>, list: &[Guarantee]) -> fmt::Result {
    if list.is_empty() {
        return f.write_str("none");
    }
    for (i, guarantee) in list.iter().enumerate() {
        let shape = &guarantee.shape;
        let comma = if i > 0 { ", " } else { "" };
        write!(
            f,
            "{comma}{}x({}x{})",
            guarantee.count, shape.tasks, shape.accels
        )?;
    }
    Ok(())
}

/// Type of a setting, with its limits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Type {
    /// A boolean.
    Flag,
    /// An unsigned integer: unit, smallest and largest value.
    Number(&'static str, u64, u64),
    /// A list of guarantees.
    Shapes,
    /// One of the given words.
    Word(&'static [&'static str]),
}

impl fmt::Display for Type {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Type::Flag => f.write_str("true or false"),
            Type::Number("", min, max) => write!(f, "{min} to {max}"),
            Type::Number(unit, min, max) => write!(f, "{min} to {max} {unit}"),
            Type::Shapes => f.write_str("a list of {shape, count}"),
            Type::Word(words) => f.write_str(&words.join(" or ")),
        }
    }
}

impl Type {
    /// Adds a finding unless the value has this type and is within its limits.
    pub fn check(self, value: &Value, location: &str, findings: &mut Findings) {
        match (self, value) {
            (Type::Flag, Value::Flag(_)) => {}
            (Type::Number(_, min, max), Value::Number(n)) if (min..=max).contains(n) => {}
            (Type::Word(words), Value::Word(w)) if words.contains(&w.as_str()) => {}
            (Type::Shapes, Value::Shapes(list)) => check_shapes(list, location, findings),
            _ => {
                let problem = format!("{value} is not allowed here");
                findings.add(location, problem, format!("use {self}"));
            }
        }
    }
}

fn check_shapes(list: &[Guarantee], location: &str, findings: &mut Findings) {
    if list.len() > MAX_SHAPES {
        let remedy = format!("hold at most {MAX_SHAPES}");
        findings.add(location, format!("{} guarantees", list.len()), remedy);
    }
    for (i, guarantee) in list.iter().enumerate() {
        check_guarantee(guarantee, &format!("{location}[{i}]"), findings);
        if list[..i].iter().any(|h| h.shape == guarantee.shape) {
            let at = format!("{location}[{i}]");
            findings.add(
                at,
                "the shape is listed twice",
                "list it once with its count",
            );
        }
    }
}

fn check_guarantee(guarantee: &Guarantee, location: &str, findings: &mut Findings) {
    let shape = &guarantee.shape;
    let mut check_range = |name: &str, value: u32, min: u32, max: u32| {
        if value < min || value > max {
            let problem = format!("{name} {value} is out of range");
            findings.add(location, problem, format!("use {min} to {max}"));
        }
    };
    check_range("count", guarantee.count, 1, MAX_COPIES);
    check_range("tasks", shape.tasks, 1, MAX_TASKS);
    check_range("accels", shape.accels.0, 1, MAX_ACCELS);
}
