//! Policy values that rows of the configuration carry.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;

use crate::units::Probability;

quick_error! {
    /// A text that is not one of the words of a policy.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ParsePolicyError {
        /// The word is not in the list.
        UnknownWord(expected: &'static str) {
            display("expected {}", expected)
        }
    }
}

/// Defines an enum whose variants are written as fixed words.
macro_rules! word_enum {
    ($(#[$doc:meta])* $name:ident, $expected:literal, { $($(#[$variant_doc:meta])* $variant:ident = $word:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name {
            $($(#[$variant_doc])* $variant,)*
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self {
                    $(Self::$variant => $word,)*
                })
            }
        }

        impl FromStr for $name {
            type Err = ParsePolicyError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                match text {
                    $($word => Ok(Self::$variant),)*
                    _ => Err(ParsePolicyError::UnknownWord($expected)),
                }
            }
        }
    };
}

word_enum! {
    /// The order in which queued requests get a free slot, first to last.
    TrafficClass, "urgent, normal or batch", {
        /// Requests that somebody waits for with a deadline.
        Urgent = "urgent",
        /// Ordinary requests.
        Normal = "normal",
        /// Requests that can wait.
        Batch = "batch",
    }
}

word_enum! {
    /// Whether operators want a target to receive work.
    TargetState, "serving or leaving", {
        /// The target receives work.
        Serving = "serving",
        /// The target drains and receives no new work.
        Leaving = "leaving",
    }
}

word_enum! {
    /// What a daemon that can't confirm its configuration does with a service.
    IsolationPolicy, "refuse or serve-idempotent", {
        /// It refuses every request.
        Refuse = "refuse",
        /// It serves idempotent requests and refuses the others.
        ServeIdempotent = "serve-idempotent",
    }
}

word_enum! {
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

/// The error rates that a service accepts from the failure detector.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DetectionPolicy {
    /// The probability that the test blames a healthy target.
    pub max_false_ejection: Probability,
    /// The probability that the test clears a failing target.
    pub max_missed: Probability,
}

impl DetectionPolicy {
    /// The profile for services that weigh detection time more.
    pub fn detection_first() -> Self {
        Self {
            max_false_ejection: Probability::ONE_IN_THOUSAND,
            max_missed: Probability::ONE_IN_TWENTY,
        }
    }

    /// The profile for services that weigh false ejections more.
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
            _ => Err(ParsePolicyError::UnknownWord(
                "detection-first or false-ejection-first",
            )),
        }
    }
}
