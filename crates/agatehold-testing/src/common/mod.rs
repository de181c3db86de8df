//! Code that the stand-ins share: clock, HTTP server, control port, command
//! line options and child processes.

mod client;
mod clock;
mod control;
mod http_io;
mod options;
mod program;

pub use client::CallError;
pub use client::call_platform;
pub use client::read_control;
pub use client::switch_control;
pub use clock::unix_now;
pub use control::ControlEvent;
pub use control::merge_patch;
pub use control::serve_control;
pub use http_io::Closed;
pub use http_io::Reply;
pub use http_io::connect;
pub use http_io::json_response;
pub use http_io::serve;
pub use http_io::serve_connection;
pub use http_io::text_response;
pub use options::parse_value;
pub use options::print_lines;
pub use options::run_program;
pub use options::wait_for_signal;
pub use program::Program;
pub use program::process_memory;
