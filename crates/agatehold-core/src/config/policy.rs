//! Types of the policy fields in the rows of the configuration.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;

use crate::units::Probability;

quick_error! {
    /// The error for a string that is not a value of a policy type.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ParsePolicyError {
        /// The string is none of the expected values.
        UnknownValue(expected: &'static str) {
            display("expected {}", expected)
        }
    }
}

/// Defines an enum whose variants are displayed as and parsed from fixed strings.
macro_rules! string_enum {
    ($(#[$doc:meta])* $name:ident, $expected:literal, { $($(#[$variant_doc:meta])* $variant:ident = $value:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name {
            $($(#[$variant_doc])* $variant,)*
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self {
                    $(Self::$variant => $value,)*
                })
            }
        }

        impl FromStr for $name {
            type Err = ParsePolicyError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                match text {
                    $($value => Ok(Self::$variant),)*
                    _ => Err(ParsePolicyError::UnknownValue($expected)),
                }
            }
        }
    };
}

string_enum! {
    /// The priority with which queued requests get a free slot, highest first.
    TrafficClass, "urgent, normal or batch", {
        /// Requests that a caller waits for with a deadline.
        Urgent = "urgent",
        /// Ordinary requests.
        Normal = "normal",
        /// Requests that can wait.
        Batch = "batch",
    }
}

string_enum! {
    /// Whether a target receives requests, as set by an operator.
    TargetState, "serving or leaving", {
        /// The target receives requests.
        Serving = "serving",
        /// The target drains and receives no new requests.
        Leaving = "leaving",
    }
}

string_enum! {
    /// How a daemon that can't confirm its configuration handles the requests for
    /// a service.
    IsolationPolicy, "refuse or serve-idempotent", {
        /// The daemon refuses all of them.
        Refuse = "refuse",
        /// The daemon serves idempotent requests and refuses the others.
        ServeIdempotent = "serve-idempotent",
    }
}

string_enum! {
    /// How a route decides whether a request is idempotent.
    Idempotence, "by-method, yes or no", {
        /// By the method's definition (RFC 9110, section 9.2.2).
        ByMethod = "by-method",
        /// Every request is idempotent.
        Yes = "yes",
        /// No request is idempotent.
        No = "no",
    }
}

/// The error probabilities that a service accepts from the failure detector.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DetectionPolicy {
    /// The probability that the detector takes a healthy target for a failing one.
    pub max_false_ejection: Probability,
    /// The probability that the detector takes a failing target for a healthy one.
    pub max_missed: Probability,
}

impl DetectionPolicy {
    /// Returns the profile that favours fast detection over few false ejections.
    pub fn detection_first() -> Self {
        Self {
            max_false_ejection: Probability::ONE_IN_THOUSAND,
            max_missed: Probability::ONE_IN_TWENTY,
        }
    }

    /// Returns the profile that favours few false ejections over fast detection.
    pub fn false_ejection_first() -> Self {
        Self {
            max_false_ejection: Probability::ONE_IN_MILLION,
            max_missed: Probability::ONE_IN_TWENTY,
        }
    }
}

impl FromStr for DetectionPolicy {
    type Err = ParsePolicyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "detection-first" => Ok(Self::detection_first()),
            "false-ejection-first" => Ok(Self::false_ejection_first()),
            _ => Err(ParsePolicyError::UnknownValue(
                "detection-first or false-ejection-first",
            )),
        }
    }
}
