//! Newtypes for names and identifiers.

mod digest;
mod name;
mod number;

pub use digest::Digest;
pub use digest::NoteId;
pub use name::FailureDomain;
pub use name::HostId;
pub use name::RouteName;
pub use name::ServiceName;
pub use name::TargetName;
pub use name::TenantName;
pub use name::is_header_text;
pub use number::Epoch;
pub use number::Incarnation;
pub use number::NoteNumber;
pub use number::RequestId;

use quick_error::quick_error;

quick_error! {
    /// The error for a text that is not a valid name or identifier.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ParseIdError {
        /// The text is not a valid name.
        Name {
            display("expected 1 to 63 characters of a-z, 0-9 and '-', beginning with a letter or digit")
        }
        /// The text is not a number.
        Number {
            display("expected a number")
        }
        /// The text is not a hexadecimal number of the right length.
        Hex(digits: usize) {
            display("expected {} hexadecimal digits", digits)
        }
    }
}
