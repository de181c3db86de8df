//! Serde functions for values that are written as text.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;
use serde::de::Error;

/// Writes `value` as its text.
pub(crate) fn serialize<T: fmt::Display, S: Serializer>(
    value: &T,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
}

/// Reads a value from its text.
pub(crate) fn deserialize<'de, T, D>(deserializer: D) -> Result<T, D::Error>
where
    T: FromStr<Err: fmt::Display>,
    D: Deserializer<'de>,
{
    let text = String::deserialize(deserializer)?;
    text.parse().map_err(D::Error::custom)
}
