//! Errors of encoding requests to the platform and decoding its responses.

use quick_error::quick_error;

quick_error! {
    /// An error while encoding a request to the platform or decoding its data.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PlatformCodecError {
        /// The protocol does not define the status code for the request.
        Status(status: u16) {
            display("the platform answered with unexpected HTTP status {}", status)
        }
        /// A response header is missing or malformed.
        Header(name: &'static str) {
            display("the header {} of the platform's response is missing or malformed", name)
        }
        /// A response body or a stored value is malformed.
        Body(expected: &'static str, detail: Box<str>) {
            display("invalid data from the platform: expected {}: {}", expected, detail)
        }
        /// A text is not a valid key, key prefix, lease or version.
        Name(expected: &'static str) {
            display("expected {}", expected)
        }
        /// A value is larger than the platform accepts.
        TooLarge(bytes: usize) {
            display("a value of {} bytes is larger than the platform accepts", bytes)
        }
        /// A request or a value can't be encoded as HTTP or JSON.
        Encode(detail: Box<str>) {
            display("the request to the platform can't be encoded: {}", detail)
        }
    }
}
