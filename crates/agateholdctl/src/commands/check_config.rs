//! The `check-config` command, which checks a configuration of the gateway before it is
//! sent.

use std::path::Path;

use serde_json::Value;
use serde_json::json;

use agatehold_core::catalog::Catalog;
use agatehold_core::catalog::EntryDifference;
use agatehold_core::catalog::Finding;
use agatehold_core::catalog::StatedTenant;
use agatehold_core::catalog::check_catalog;
use agatehold_core::catalog::check_version;
use agatehold_core::catalog::compare_catalogs;
use agatehold_platform::ConfigurationFaults;
use agatehold_platform::decode_configuration;
use agatehold_platform::decode_stated_tenants;
use agatehold_platform::find_configuration_faults;

use crate::fault::ToolFault;
use crate::output;

/// A decoded configuration, or the entries that can't be decoded.
type Loaded = Result<(Catalog, Vec<StatedTenant>), Vec<Finding>>;

/// Prints the errors of a configuration and what differs from another one.
pub(super) fn run(file: &Path, against: Option<&Path>, json: bool) -> Result<u8, ToolFault> {
    let held = match against {
        Some(path) => Some(load(path)?.map_err(|findings| {
            let first = findings.first().map(line).unwrap_or_default();
            ToolFault::Unreadable(path.display().to_string(), first)
        })?),
        None => None,
    };
    let mut differences = Vec::new();
    let findings = match load(file)? {
        Err(findings) => findings,
        Ok((catalog, tenants)) => {
            let mut findings = check_catalog(&catalog, &tenants);
            if let Some((held, held_tenants)) = &held {
                findings.extend(check_version(&catalog, held));
                differences = compare_catalogs((held, held_tenants), (&catalog, &tenants));
            }
            findings
        }
    };
    if json {
        let findings: Vec<Value> = findings.iter().map(finding_json).collect();
        let differences: Vec<Value> = differences.iter().map(difference_json).collect();
        output::json(&json!({
            "file": file.display().to_string(),
            "findings": findings,
            "differences": differences,
        }))?;
    } else {
        for finding in &findings {
            output::line(&format!("{}: {}", file.display(), line(finding)))?;
        }
        for difference in &differences {
            print_difference(difference)?;
        }
        output::line(&format!("findings: {}", findings.len()))?;
    }
    Ok(u8::from(!findings.is_empty()))
}

fn load(path: &Path) -> Result<Loaded, ToolFault> {
    let unreadable = |detail: String| ToolFault::Unreadable(path.display().to_string(), detail);
    let bytes = std::fs::read(path).map_err(|error| unreadable(error.to_string()))?;
    match find_configuration_faults(&bytes) {
        ConfigurationFaults::NotJson(detail) => Err(unreadable(format!("not JSON: {detail}"))),
        ConfigurationFaults::Entries(findings) if !findings.is_empty() => Ok(Err(findings)),
        ConfigurationFaults::Entries(_) => {
            // The errors could contain keys, and entries without faults give none.
            let undecodable = |_| unreadable("not a configuration".to_owned());
            let catalog = decode_configuration(&bytes).map_err(undecodable)?;
            let tenants = decode_stated_tenants(&bytes).map_err(undecodable)?;
            Ok(Ok((catalog, tenants)))
        }
    }
}

fn line(finding: &Finding) -> String {
    format!(
        "{}: {}: {:?}, expected {}",
        finding.kind, finding.place, finding.value, finding.expected
    )
}

fn print_difference(difference: &EntryDifference) -> Result<(), ToolFault> {
    let EntryDifference {
        change, list, name, ..
    } = difference;
    output::line(&format!("{change} {list} {name:?}"))?;
    for field in &difference.fields {
        let (before, after) = (&field.before, &field.after);
        output::line(&format!("  {}: {before:?} -> {after:?}", field.field))?;
    }
    if difference.keys_added + difference.keys_removed > 0 {
        let (added, removed) = (difference.keys_added, difference.keys_removed);
        output::line(&format!("  keys: {added} added, {removed} removed"))?;
    }
    Ok(())
}

fn finding_json(finding: &Finding) -> Value {
    json!({
        "kind": finding.kind.to_string(),
        "place": finding.place,
        "value": finding.value,
        "expected": finding.expected,
    })
}

fn difference_json(difference: &EntryDifference) -> Value {
    let fields = difference.fields.iter();
    let fields: Vec<Value> = fields
        .map(|field| json!({"field": field.field, "before": field.before, "after": field.after}))
        .collect();
    json!({
        "change": difference.change.to_string(),
        "list": difference.list,
        "name": difference.name,
        "fields": fields,
        "keys_added": difference.keys_added,
        "keys_removed": difference.keys_removed,
    })
}
