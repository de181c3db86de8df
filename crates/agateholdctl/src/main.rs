//! The command line tool for operators of an agatehold fleet.

mod args;
mod chain;
mod client;
mod commands;
mod fault;
mod output;

use std::process::ExitCode;

use args::ParsedCommandLine;

fn main() -> ExitCode {
    let invocation = match args::parse(std::env::args_os().skip(1)) {
        Ok(ParsedCommandLine::Help) => return output::finish(args::HELP),
        Ok(ParsedCommandLine::Version) => return output::finish(args::VERSION),
        Ok(ParsedCommandLine::Run(invocation)) => invocation,
        Err(fault) => return fault::report(&fault, false),
    };
    match commands::run(&invocation) {
        Ok(code) => ExitCode::from(code),
        Err(fault) => fault::report(&fault, invocation.json),
    }
}
