//! Runs one measurement and prints its results as a Markdown table.

use std::process::ExitCode;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use agatehold_measure::balance;
use agatehold_measure::detection;
use agatehold_measure::expected_cost;
use agatehold_measure::false_ejection;
use agatehold_measure::flapping;
use agatehold_measure::leaving;
use agatehold_measure::poison;

const USAGE: &str = "\
usage: agatehold-measure [--trials N] \
detection|false-ejections|poison|flapping|balance|leaving|expected-cost";

/// The number of trials per result without `--trials`.
const DEFAULT_TRIALS: u32 = 4_000;

struct Arguments {
    subcommand: String,
    trials: u32,
}

fn parse_arguments() -> Result<Arguments, lexopt::Error> {
    let mut subcommand = None;
    let mut trials = DEFAULT_TRIALS;
    let mut parser = Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("trials") => trials = parser.value()?.parse()?,
            Arg::Value(value) if subcommand.is_none() => subcommand = Some(value.string()?),
            _ => return Err(argument.unexpected()),
        }
    }
    let subcommand = subcommand.ok_or("a subcommand is missing")?;
    Ok(Arguments { subcommand, trials })
}

fn main() -> ExitCode {
    let arguments = match parse_arguments() {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("agatehold-measure: {error}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    let trials = arguments.trials;
    let text = match arguments.subcommand.as_str() {
        "detection" => detection::report(trials),
        "false-ejections" => false_ejection::report(),
        "poison" => poison::report(trials),
        "flapping" => flapping::report(trials),
        "balance" => balance::report(),
        "leaving" => leaving::report(),
        "expected-cost" => expected_cost::report(),
        other => {
            eprintln!("agatehold-measure: unknown subcommand {other}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    print!("{text}");
    ExitCode::SUCCESS
}
