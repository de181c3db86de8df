//! Operators' command line for agatehold.

mod args;
mod chain;
mod client;
mod commands;
mod fault;
mod output;

use std::process::ExitCode;

use args::Parsed;

fn main() -> ExitCode {
    let invocation = match args::parse(std::env::args_os().skip(1)) {
        Ok(Parsed::Help) => return output::finish(args::HELP),
        Ok(Parsed::Version) => return output::finish(args::VERSION),
        Ok(Parsed::Run(invocation)) => invocation,
        Err(fault) => return fault::report(&fault, false),
    };
    match commands::run(&invocation) {
        Ok(code) => ExitCode::from(code),
        Err(fault) => fault::report(&fault, invocation.json),
    }
}
