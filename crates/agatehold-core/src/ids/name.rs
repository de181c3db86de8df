//! Names that operators choose.

use std::fmt;
use std::str::FromStr;

use super::ParseIdError;

/// The maximum length of a name in characters, as for a DNS label (RFC 1035).
const NAME_MAX_CHARS: usize = 63;

fn is_name(text: &str) -> bool {
    if text.is_empty() || text.len() > NAME_MAX_CHARS || text.starts_with('-') {
        return false;
    }
    text.bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-')
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                if !is_name(text) {
                    return Err(ParseIdError::Name);
                }
                Ok(Self(text.into()))
            }
        }
    };
}

name_type! {
    /// The name of a service.
    ServiceName
}

name_type! {
    /// The name of a target.
    TargetName
}

name_type! {
    /// The name of a route.
    RouteName
}

name_type! {
    /// The name of a tenant.
    TenantName
}

name_type! {
    /// The name of a failure domain.
    FailureDomain
}

name_type! {
    /// The name of a host that runs a daemon, unique in the fleet.
    HostId
}
