//! Serde functions for fields that are encoded as strings through `Display` and
//! `FromStr`; used with `#[serde(with = "text")]`.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;
use serde::de::Error;

/// Serializes `value` as the string that `Display` gives.
pub(crate) fn serialize<T: fmt::Display, S: Serializer>(
    value: &T,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
}

/// Deserializes a value from a string through `FromStr`.
pub(crate) fn deserialize<'de, T, D>(deserializer: D) -> Result<T, D::Error>
where
    T: FromStr<Err: fmt::Display>,
    D: Deserializer<'de>,
{
    let text = String::deserialize(deserializer)?;
    text.parse().map_err(D::Error::custom)
}
