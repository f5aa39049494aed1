//! Text for readers: tables and replies.

use conf::api::ChangeReply;
use conf::tree::Record;

/// A table with aligned columns.
pub fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut lines: Vec<Vec<String>> = vec![head.iter().map(|h| h.to_string()).collect()];
    lines.extend(rows.iter().cloned());
    let width = |i: usize| {
        let cells = lines.iter().filter_map(|l| l.get(i));
        cells.map(|c| c.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    let mut text = String::new();
    for line in &lines {
        let cells = line.iter().zip(&widths);
        let cells: Vec<String> = cells.map(|(c, w)| format!("{c:<w$}")).collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}

/// A value that may be absent.
pub fn maybe<T: ToString>(value: &Option<T>) -> String {
    value.as_ref().map_or("-".to_string(), T::to_string)
}

/// A list of names.
pub fn list<T: ToString>(items: &[T]) -> String {
    if items.is_empty() {
        return "-".to_string();
    }
    let names: Vec<String> = items.iter().map(T::to_string).collect();
    names.join(", ")
}

/// An accepted change.
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
        list(&reply.in_force),
        list(&reply.not_heard)
    )
}

/// Changes with what each touched.
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
                maybe(&item.old),
                maybe(&item.new),
                record.op.to_string(),
            ]);
        }
    }
    let head = [
        "REVISION",
        "TIME",
        "WHO",
        "PLACE",
        "SETTING",
        "OLD",
        "NEW",
        "OPERATION",
    ];
    table(&head, &rows)
}
