//! Markdown tables and quantiles.

/// Writes rows of cells as a Markdown table with `heads`.
pub fn markdown(heads: &[&str], rows: &[Vec<String>]) -> String {
    let mut text = format!("| {} |\n", heads.join(" | "));
    text.push_str(&"| --- ".repeat(heads.len()));
    text.push_str("|\n");
    for row in rows {
        text.push_str(&format!("| {} |\n", row.join(" | ")));
    }
    text
}

/// Returns the `share` quantile of `values`, which it sorts.
pub fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    let position = (share * last as f64).round() as usize;
    values.get(position.min(last)).copied().unwrap_or(f64::NAN)
}

/// Returns the mean of `values`.
pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
