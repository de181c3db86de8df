//! Errors that end a command.

use std::io;
use std::process::ExitCode;

use quick_error::quick_error;

use agatehold_settings::error::SettingsError;

use crate::output;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum ToolFault {
        /// The command line is invalid.
        Usage(detail: String) {
            display("{}\ntry agateholdctl --help", detail)
        }
        /// A file can't be read.
        File(path: String, error: io::Error) {
            display("can't read {}: {}", path, error)
        }
        /// A configuration to check can't be read, or is not JSON.
        Unreadable(path: String, detail: String) {
            display("can't read {}: {}", path, detail)
        }
        /// The output can't be written.
        Output(error: io::Error) {
            from()
            display("can't write the output: {}", error)
        }
        /// The output can't be encoded as JSON.
        Json(error: serde_json::Error) {
            from()
            display("can't encode the output as JSON: {}", error)
        }
        /// The settings or a note are invalid.
        Invalid(errors: Vec<SettingsError>) {
            display("{}", lines(errors))
        }
        /// The note is larger than a platform value may be.
        NoteTooLarge(bytes: usize, limit: usize) {
            display("the note takes {} bytes in the platform, expected at most {}", bytes, limit)
        }
        /// The platform did not answer or its answer can't be used.
        Platform(detail: String) {
            display("platform: {}", detail)
        }
        /// The platform did not answer, so the status of a note is unknown.
        StatusUnknown(detail: String) {
            display("the outcome is unknown: {}", detail)
        }
        /// No log contains a line about the request.
        NoSuchRequest(id: String) {
            display("no line with id={} in the given logs", id)
        }
        /// No daemon answered.
        Daemons(detail: String) {
            display("daemons: {}", detail)
        }
        /// At most half of the daemons have a confirmed configuration.
        Unconfirmed(confirmed: usize, all: usize) {
            display("only {} of {} daemons have a confirmed configuration, so the note would \
                     reach only a minority; use --force to release it anyway", confirmed, all)
        }
    }
}

impl ToolFault {
    /// Returns the value of `outcome` in the JSON output.
    fn outcome(&self) -> &'static str {
        match self.exit_code() {
            3 => "invalid",
            5 => "unknown",
            _ => "failed",
        }
    }

    /// Returns the exit code (docs/design.md, section 2).
    fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::Unreadable(_, _) => 2,
            Self::Invalid(_) | Self::NoteTooLarge(_, _) => 3,
            Self::StatusUnknown(_) => 5,
            Self::File(_, _)
            | Self::Output(_)
            | Self::Json(_)
            | Self::Platform(_)
            | Self::Daemons(_)
            | Self::Unconfirmed(_, _)
            | Self::NoSuchRequest(_) => 1,
        }
    }
}

/// Prints `fault` to standard error and, if `json` is set, as JSON to standard
/// output; returns its exit code.
pub(crate) fn report(fault: &ToolFault, json: bool) -> ExitCode {
    eprintln!("{fault}");
    if json {
        let text = fault.to_string();
        let lines: Vec<&str> = text.lines().collect();
        let value = serde_json::json!({"outcome": fault.outcome(), "detail": lines});
        if let Err(error) = output::json(&value) {
            eprintln!("{error}");
        }
    }
    ExitCode::from(fault.exit_code())
}

fn lines(errors: &[SettingsError]) -> String {
    let lines: Vec<String> = errors.iter().map(|error| error.to_string()).collect();
    lines.join("\n")
}
