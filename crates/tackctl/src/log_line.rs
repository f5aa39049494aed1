//! Reads the daemons' logs.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;

use base::Findings;
use serde_json::Map;
use serde_json::Value;

use crate::failure::Failure;

/// Most findings that are listed of one file.
const MAX_FINDINGS: usize = 10;

/// A line of a daemon's log.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// Number of the event.
    pub event: u64,
    /// Time, as the daemon wrote it.
    pub time: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line. Whatever a log collector has put before the JSON object is left out.
    fn parse(line: &str) -> Result<LogLine, String> {
        let start = line.find('{').ok_or("it holds no JSON object")?;
        let fields: Map<String, Value> =
            serde_json::from_str(&line[start..]).map_err(|e| e.to_string())?;
        let event = fields.get("event").and_then(Value::as_u64);
        let event = event.ok_or("it has no number of an event, so lines may be missing here")?;
        let time = fields.get("ts").and_then(Value::as_str);
        Ok(LogLine {
            event,
            time: time.unwrap_or_default().to_string(),
            fields,
        })
    }

    /// The text of a field; empty if the line does not have it.
    pub fn text(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// The number in a field; `None` if there is none.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.text(name).parse().ok()
    }

    /// Names and texts of the fields, apart from those that every line has.
    pub fn details(&self) -> impl Iterator<Item = (&str, &str)> {
        let common = ["event", "ts", "level", "msg", "vm", "domain"];
        let own = self
            .fields
            .iter()
            .filter(move |(name, _)| !common.contains(&name.as_str()));
        own.map(|(name, value)| (name.as_str(), value.as_str().unwrap_or_default()))
    }
}

/// Reads the lines of a log. Lines that cannot be read are added to `findings`.
pub fn read(path: &Path, findings: &mut Findings) -> Result<Vec<LogLine>, Failure> {
    let name = path.display().to_string();
    let failed = |e: std::io::Error| Failure::not_run(format!("{name}: {e}"));
    let mut lines = Vec::new();
    let mut bad = 0;
    for (num, line) in BufReader::new(File::open(path).map_err(failed)?)
        .split(b'\n')
        .enumerate()
    {
        let line = line.map_err(failed)?;
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let parsed = String::from_utf8(line).map_err(|e| e.to_string());
        match parsed.and_then(|text| LogLine::parse(&text)) {
            Ok(line) => lines.push(line),
            Err(why) => {
                bad += 1;
                if bad <= MAX_FINDINGS {
                    findings.add(
                        format!("{name}:{}", num + 1),
                        format!("not a line of a daemon's log: {why}"),
                        "pass whole logs only, or leave the line out",
                    );
                }
            }
        }
    }
    if bad > MAX_FINDINGS {
        findings.add(
            name,
            format!("{} further lines cannot be read", bad - MAX_FINDINGS),
            "pass whole logs only",
        );
    }
    Ok(lines)
}
