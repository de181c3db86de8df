//! Faults of the platform's messages.

use quick_error::quick_error;

quick_error! {
    /// A message of the platform that can't be encoded or understood.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PlatformFault {
        /// The status has no meaning for the request.
        Status(status: u16) {
            display("the platform answered with the unexpected status {}", status)
        }
        /// A header is missing or malformed.
        Header(name: &'static str) {
            display("the platform's header {} is missing or malformed", name)
        }
        /// A body is not what the protocol says.
        Body(expected: &'static str, detail: Box<str>) {
            display("the platform's value is invalid: expected {}: {}", expected, detail)
        }
        /// A text is not a key, a prefix, a lease or a version.
        Name(expected: &'static str) {
            display("expected {}", expected)
        }
        /// A value is over the platform's limit.
        TooLarge(bytes: usize) {
            display("a value of {} bytes is over the platform's limit", bytes)
        }
        /// A request can't be written as HTTP.
        Encode(detail: Box<str>) {
            display("the request can't be encoded: {}", detail)
        }
    }
}
