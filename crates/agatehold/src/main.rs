//! The agatehold daemon.

mod admin;
mod admission;
mod clock;
mod control;
mod daemon;
mod gateway;
mod options;
mod peers;
mod platform;
mod shared;
mod telemetry;
mod traffic;

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use agatehold_settings::error::SettingsError;
use agatehold_settings::process::parse_daemon;
use agatehold_settings::process::parse_gateway;

use daemon::StopOutcome;
use options::Options;

/// The exit code for a failure.
const EXIT_FAILURE: u8 = 1;

/// The exit code for wrong usage.
const EXIT_USAGE: u8 = 2;

/// The exit code for invalid settings.
const EXIT_SETTINGS: u8 = 3;

/// The exit code for a forced stop that aborted requests.
const EXIT_ABORTED: u8 = 7;

fn main() -> ExitCode {
    let options = match options::parse(std::env::args_os().skip(1)) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("agatehold: {error}\n\n{}", options::HELP);
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let (path, check) = match options {
        Options::Help => {
            print!("{}", options::HELP);
            return ExitCode::SUCCESS;
        }
        Options::Version => {
            println!("agatehold {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        Options::Check(path) => (path, true),
        Options::Run(path) => (path, false),
        Options::CheckGateway(path) => return run_gateway(path, true),
        Options::RunGateway(path) => return run_gateway(path, false),
    };
    let settings = match load_settings(&path, parse_daemon) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    if check {
        println!("{}: the settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    match daemon::run(settings) {
        Ok(StopOutcome::Graceful) => ExitCode::SUCCESS,
        Ok(StopOutcome::Aborted(requests)) => {
            log::error!("forced stop cut requests: count={requests}");
            ExitCode::from(EXIT_ABORTED)
        }
        Err(error) => {
            eprintln!("agatehold: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn run_gateway(path: Option<PathBuf>, check: bool) -> ExitCode {
    let Some(path) = path.or_else(agatehold_platform::settings_path) else {
        eprintln!(
            "agatehold: no settings file: pass --settings FILE\n\n{}",
            options::HELP
        );
        return ExitCode::from(EXIT_USAGE);
    };
    let settings = match load_settings(&path, parse_gateway) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    if let Err(error) = agatehold_platform::parse_bounds(&settings.bounds) {
        eprintln!("{}: [platform] bounds: {error}", path.display());
        return ExitCode::from(EXIT_SETTINGS);
    }
    if check {
        println!("{}: the settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    match gateway::run(&path, settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("agatehold: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Reads and parses a settings file. On failure, prints all errors and returns
/// the exit code.
fn load_settings<T>(
    path: &Path,
    parse: impl FnOnce(&str, &str) -> Result<T, Vec<SettingsError>>,
) -> Result<T, ExitCode> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| {
        eprintln!("agatehold: reading {file} failed: {error}");
        ExitCode::from(EXIT_SETTINGS)
    })?;
    parse(&file, &text).map_err(|errors| {
        for error in errors {
            eprintln!("{error}");
        }
        ExitCode::from(EXIT_SETTINGS)
    })
}
