//! Formats Markdown tables and computes quantiles and means.

/// Returns a Markdown table with the header cells `headers`.
pub fn markdown(headers: &[&str], rows: &[Vec<String>]) -> String {
    let mut text = format!("| {} |\n", headers.join(" | "));
    text.push_str(&"| --- ".repeat(headers.len()));
    text.push_str("|\n");
    for row in rows {
        text.push_str(&format!("| {} |\n", row.join(" | ")));
    }
    text
}

/// Returns the `fraction` quantile of `values`, or NaN without any. Sorts
/// `values`.
pub fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    let position = (fraction * last as f64).round() as usize;
    values.get(position.min(last)).copied().unwrap_or(f64::NAN)
}

/// Returns the mean of `values`, or 0 without any.
pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
