//! Settings files of daemons.

use std::collections::BTreeMap;

use base::Millis;

use crate::daemon::Addresses;
use crate::daemon::STOP_TIMEOUT;
use crate::traffic::Profile;

/// Time for which the state of an ended job stays known. Records are removed after twice this, which is
/// short enough that removals meet the faults of a run.
const STATUS_TIME: Millis = Millis(6_000);

/// Text of the settings file of a daemon.
pub fn text(
    number: usize,
    addresses: &Addresses,
    heartbeat: Millis,
    profile: Option<&Profile>,
) -> String {
    let Addresses {
        callers,
        ready,
        operators,
        links,
        store,
        adviser,
        machines,
    } = addresses;
    let domain = profile.map_or(number % 2, |p| p.domain);
    let links_field = links.map_or_else(String::new, |links| format!(r#", "links": "{links}""#));
    let resources = match profile.and_then(|p| p.resources.as_ref()) {
        Some(resources) => format!(r#""resources": {{ {resources} }},"#),
        None if links.is_some() => {
            // One VM in three is strong, so that hand-overs to it are part of the run.
            let cores = if number % 3 == 0 { "0.5" } else { "0.12" };
            format!(
                r#""resources": {{ "cores": "{cores}" }},
  "delegates": {{ "min-workers": "1", "workers-each": "2" }},"#
            )
        }
        None => String::new(),
    };
    format!(
        r#"{{
  "vm": "e{number}", "domain": "d{domain}",
  {resources}
  "addresses": {{ "callers": "{callers}", "ready": "{ready}", "operators": "{operators}"{links_field} }},
  "store": {{ "address": "{store}" }}, "adviser": "{adviser}",
  "machines": {{ "address": "{machines}", "orders": "60", "reads": "60" }},
  "bounds": {{ {} }},
}}
"#,
        bounds(heartbeat, profile)
    )
}

fn bounds(heartbeat: Millis, profile: Option<&Profile>) -> String {
    let fixed = [
        ("max-hold", "6s".to_string()),
        ("stop", format!("{}ms", STOP_TIMEOUT.0)),
        ("heartbeat", format!("{}ms", heartbeat.0)),
        ("stop-grace", "400ms".to_string()),
        ("upkeep", "300ms".to_string()),
        ("handover", "500ms".to_string()),
        ("status", format!("{}ms", STATUS_TIME.0)),
    ];
    let mut bounds: BTreeMap<&str, String> = fixed.into_iter().collect();
    for (name, value) in profile.iter().flat_map(|p| &p.bounds) {
        bounds.insert(name, value.clone());
    }
    let fields = bounds
        .iter()
        .map(|(name, value)| format!("\"{name}\": \"{value}\""));
    fields.collect::<Vec<_>>().join(", ")
}
