//! Code that the stand-ins share: clock, HTTP server, control port, command
//! line options and child processes.

mod child_process;
mod client;
mod clock;
mod command_line;
mod control;
mod http_io;

pub use child_process::ChildProcess;
pub(crate) use child_process::lock_spawning;
pub use child_process::process_memory;
pub use client::CallError;
pub use client::call_platform;
pub use client::get_control;
pub use client::post_control;
pub use clock::unix_now;
pub use command_line::parse_value;
pub use command_line::print_lines;
pub use command_line::run_program;
pub use command_line::wait_for_signal;
pub use control::ControlEvent;
pub use control::merge_patch;
pub use control::serve_control;
pub use http_io::CloseReason;
pub use http_io::HandlerResult;
pub use http_io::connect;
pub use http_io::json_response;
pub use http_io::serve;
pub use http_io::serve_connection;
pub use http_io::text_response;
