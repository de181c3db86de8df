//! The `hosts`, `targets`, `ejections` and `drain` commands.

use std::net::SocketAddr;

use serde::Serialize;
use serde::de::DeserializeOwned;

use agatehold_settings::process::OperatorSettings;
use agatehold_wire::admin::EjectionsAnswer;
use agatehold_wire::admin::HostsAnswer;
use agatehold_wire::admin::TargetsAnswer;

use crate::args::Command;
use crate::args::DaemonSelector;
use crate::client::AdminClient;
use crate::fault::ToolFault;
use crate::output;
use crate::output::cell;

/// Shows the view of one daemon: the one at `at` or, without `at`, the first that
/// answers.
pub(super) fn show(
    settings: &OperatorSettings,
    at: Option<SocketAddr>,
    command: &Command,
    json: bool,
) -> Result<u8, ToolFault> {
    let client = AdminClient::new(settings.fleet.token.clone());
    let addresses = match at {
        Some(address) => vec![address],
        None => settings.fleet.admin.clone(),
    };
    match command {
        Command::Hosts => print_answer(
            &query_first_daemon(&client, &addresses, "/v1/hosts")?,
            json,
            print_hosts,
        ),
        Command::Targets => print_answer(
            &query_first_daemon(&client, &addresses, "/v1/targets")?,
            json,
            print_targets,
        ),
        _ => print_answer(
            &query_first_daemon(&client, &addresses, "/v1/ejections")?,
            json,
            print_ejections,
        ),
    }
}

/// Starts a planned stop of a daemon.
pub(super) fn drain(
    settings: &OperatorSettings,
    daemon: &DaemonSelector,
    json: bool,
) -> Result<u8, ToolFault> {
    let client = AdminClient::new(settings.fleet.token.clone());
    let address = match daemon {
        DaemonSelector::Address(address) => *address,
        DaemonSelector::Host(host) => {
            let reports = client.reports(&settings.fleet.admin);
            let found = reports
                .rows()
                .find(|(_, report)| report.as_ref().is_some_and(|report| report.host == *host));
            let missing = || ToolFault::Daemons(format!("no daemon on host {host} answered"));
            *found.ok_or_else(missing)?.0
        }
    };
    let answer = client.drain(address).map_err(ToolFault::Daemons)?;
    if json {
        output::json(&answer)?;
        return Ok(0);
    }
    let (state, in_flight) = (json_name(&answer.state), answer.in_flight);
    output::line(&format!(
        "{address} is {state} with {in_flight} requests in flight"
    ))?;
    Ok(0)
}

fn query_first_daemon<T: DeserializeOwned>(
    client: &AdminClient,
    addresses: &[SocketAddr],
    path: &str,
) -> Result<T, ToolFault> {
    let mut faults = Vec::new();
    for address in addresses {
        match client.read(*address, path) {
            Ok(answer) => return Ok(answer),
            Err(fault) => faults.push(fault),
        }
    }
    Err(ToolFault::Daemons(faults.join("\n")))
}

fn print_answer<T: Serialize>(
    answer: &T,
    json: bool,
    print_tables: impl Fn(&T) -> Result<(), ToolFault>,
) -> Result<u8, ToolFault> {
    if json {
        output::json(answer)?;
    } else {
        print_tables(answer)?;
    }
    Ok(0)
}

fn print_hosts(answer: &HostsAnswer) -> Result<(), ToolFault> {
    let mut rows = Vec::new();
    for host in &answer.hosts {
        rows.push(vec![
            host.id.to_string(),
            host.failure_domain.to_string(),
            json_name(&host.state),
            host.note.to_string(),
            cell(host.heartbeat_age_ms),
            cell(host.callers),
        ]);
    }
    let header = ["HOST", "DOMAIN", "STATE", "NOTE", "HEARTBEAT MS", "CALLERS"];
    output::table(&header, &rows)
}

fn print_targets(answer: &TargetsAnswer) -> Result<(), ToolFault> {
    let mut rows = Vec::new();
    for target in &answer.targets {
        rows.push(vec![
            target.name.to_string(),
            target.service.to_string(),
            target.failure_domain.to_string(),
            target.address.to_string(),
            target.state.to_string(),
            json_name(&target.rank),
            format!("{}/{}", target.in_flight, target.slots),
            cell(target.reported_in_flight),
            format!("{:.2}", target.evidence),
            cell(target.median_ms.map(|median| format!("{median:.1}"))),
        ]);
    }
    let header = [
        "TARGET",
        "SERVICE",
        "DOMAIN",
        "ADDRESS",
        "STATE",
        "RANK",
        "OWN",
        "REPORTED",
        "EVIDENCE",
        "MEDIAN MS",
    ];
    output::table(&header, &rows)
}

fn print_ejections(answer: &EjectionsAnswer) -> Result<(), ToolFault> {
    let mut rows = Vec::new();
    for ejection in &answer.ejections {
        rows.push(vec![
            ejection.target.to_string(),
            ejection.service.to_string(),
            json_name(&ejection.state),
            ejection.age_ms.to_string(),
            ejection.confirmed_age_ms.to_string(),
        ]);
    }
    let header = ["TARGET", "SERVICE", "STATE", "AGE MS", "CONFIRMED MS"];
    output::table(&header, &rows)?;
    output::line("")?;
    let mut rows = Vec::new();
    for service in &answer.services {
        rows.push(vec![
            service.service.to_string(),
            service.floor.to_string(),
            service.healthy.to_string(),
            service.permits.to_string(),
        ]);
    }
    output::table(&["SERVICE", "FLOOR", "HEALTHY", "PERMITS"], &rows)
}

/// Returns the name of a state in JSON.
fn json_name(state: &impl Serialize) -> String {
    match serde_json::to_value(state) {
        Ok(serde_json::Value::String(name)) => name,
        Ok(_) | Err(_) => "?".to_owned(),
    }
}
