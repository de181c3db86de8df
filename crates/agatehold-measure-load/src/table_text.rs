//! Formats Markdown tables and percentages.

/// Returns a Markdown table with the header cells `header`.
pub fn markdown(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut text = format!(
        "| {} |\n|{}\n",
        header.join(" | "),
        " --- |".repeat(header.len())
    );
    for row in rows {
        text.push_str(&format!("| {} |\n", row.join(" | ")));
    }
    text
}

/// Returns `part` as a percentage of `whole`, or `-` if `whole` is 0.
pub fn percent(part: f64, whole: f64) -> String {
    if whole == 0.0 {
        return "-".to_owned();
    }
    format!("{:.1}%", 100.0 * part / whole)
}
