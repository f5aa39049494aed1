//! Plain-text rendering of tables and replies.

use conf::api::ChangeReply;
use conf::tree::Record;

/// Renders a table with left-aligned columns, two blanks apart.
pub fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut lines: Vec<Vec<String>> = vec![header.iter().map(|h| h.to_string()).collect()];
    lines.extend(rows.iter().cloned());
    let width = |i: usize| {
        let cells = lines.iter().filter_map(|l| l.get(i));
        cells.map(|c| c.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let mut text = String::new();
    for line in &lines {
        let cells = line.iter().zip(&widths);
        let cells: Vec<String> = cells.map(|(c, w)| format!("{c:<w$}")).collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}

/// Renders a value, or a dash if it is absent.
pub fn or_dash<T: ToString>(value: &Option<T>) -> String {
    value.as_ref().map_or("-".to_string(), T::to_string)
}

/// Renders items separated by commas, or a dash if there are none.
pub fn comma_list<T: ToString>(items: &[T]) -> String {
    if items.is_empty() {
        return "-".to_string();
    }
    let names: Vec<String> = items.iter().map(T::to_string).collect();
    names.join(", ")
}

/// Renders the reply to an accepted change.
pub fn change(reply: &ChangeReply) -> String {
    let again = if reply.repeated {
        " by an earlier send"
    } else {
        ""
    };
    format!(
        "accepted{again} as revision {} (operation {})\nin force: {}\nnot heard: {}\n",
        reply.revision,
        reply.op,
        comma_list(&reply.in_force),
        comma_list(&reply.not_heard)
    )
}

/// Renders a history of changes, one row for each item changed.
pub fn records(records: &[Record]) -> String {
    let mut rows = Vec::new();
    for record in records {
        for item in &record.items {
            rows.push(vec![
                record.revision.to_string(),
                record.when.to_string(),
                record.who.to_string(),
                item.at.to_string(),
                item.key.clone(),
                or_dash(&item.old),
                or_dash(&item.new),
                record.op.to_string(),
            ]);
        }
    }
    let header = [
        "REVISION",
        "TIME",
        "WHO",
        "PLACE",
        "SETTING",
        "OLD",
        "NEW",
        "OPERATION",
    ];
    table(&header, &rows)
}
