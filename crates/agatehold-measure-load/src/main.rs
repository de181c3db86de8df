//! Runs one measurement and prints its results as Markdown tables.

use std::error::Error;
use std::process::ExitCode;

use lexopt::Arg;
use lexopt::Parser;

use agatehold_measure_load::fleet;
use agatehold_measure_load::keys;
use agatehold_measure_load::load;
use agatehold_measure_load::retries;
use agatehold_measure_load::tenants;

const USAGE: &str = "usage: agatehold-measure-load load|fleet|retries|keys|tenants";

fn main() -> ExitCode {
    match report() {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("agatehold-measure-load: {error}\n{USAGE}");
            ExitCode::from(2)
        }
    }
}

fn report() -> Result<String, Box<dyn Error>> {
    let mut parser = Parser::from_env();
    let Some(argument) = parser.next()? else {
        return Err("a subcommand is missing".into());
    };
    match argument {
        Arg::Value(name) if name == "load" => Ok(load::report()?),
        Arg::Value(name) if name == "fleet" => fleet::report(),
        Arg::Value(name) if name == "retries" => Ok(retries::report()),
        Arg::Value(name) if name == "keys" => Ok(keys::report()?),
        Arg::Value(name) if name == "tenants" => Ok(tenants::report()?),
        Arg::Short('h') | Arg::Long("help") => Ok(format!("{USAGE}\n")),
        other => Err(other.unexpected().into()),
    }
}
