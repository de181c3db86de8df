//! Text and JSON output.

use std::io;
use std::io::Write as _;
use std::process::ExitCode;

use serde::Serialize;

use crate::fault::ToolFault;

/// Prints `text` and returns the exit code.
pub(crate) fn finish(text: &str) -> ExitCode {
    match line(text.trim_end()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => crate::fault::report(&fault, false),
    }
}

/// Prints one line.
pub(crate) fn line(text: &str) -> Result<(), ToolFault> {
    writeln!(io::stdout(), "{text}")?;
    Ok(())
}

/// Prints `value` as JSON.
pub(crate) fn json(value: &impl Serialize) -> Result<(), ToolFault> {
    line(&serde_json::to_string_pretty(value)?)
}

/// Prints a table whose columns are as wide as their widest cell.
pub(crate) fn table(header: &[&str], rows: &[Vec<String>]) -> Result<(), ToolFault> {
    let mut widths: Vec<usize> = header.iter().map(|title| title.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let titles: Vec<String> = header.iter().map(|title| (*title).to_owned()).collect();
    line(&columns(&titles, &widths))?;
    for row in rows {
        line(&columns(row, &widths))?;
    }
    Ok(())
}

fn columns(cells: &[String], widths: &[usize]) -> String {
    let mut text = String::new();
    for (cell, width) in cells.iter().zip(widths) {
        text.push_str(&format!("{cell:<width$}  "));
    }
    text.trim_end().to_owned()
}

/// Formats `value` as a table cell, or `-` if there is none.
pub(crate) fn cell(value: Option<impl std::fmt::Display>) -> String {
    value.map_or("-".to_owned(), |value| value.to_string())
}
