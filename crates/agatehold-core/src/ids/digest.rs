//! Hashes and random identifiers with a hexadecimal text form.

use std::fmt;
use std::str::FromStr;

use sha2::Digest as _;
use sha2::Sha256;

use super::ParseIdError;

macro_rules! hex_type {
    ($(#[$doc:meta])* $name:ident($bytes:literal)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub [u8; $bytes]);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                for byte in self.0 {
                    write!(f, "{byte:02x}")?;
                }
                Ok(())
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let error = ParseIdError::Hex($bytes * 2);
                if text.len() != $bytes * 2 || !text.is_ascii() {
                    return Err(error);
                }
                let mut bytes = [0; $bytes];
                for (index, byte) in bytes.iter_mut().enumerate() {
                    let digits = &text[index * 2..index * 2 + 2];
                    *byte = u8::from_str_radix(digits, 16).map_err(|_| error)?;
                }
                Ok(Self(bytes))
            }
        }
    };
}

hex_type! {
    /// A SHA-256 hash (FIPS 180-4).
    Digest(32)
}

hex_type! {
    /// The identifier of a release note, assigned before the note is released.
    NoteId(16)
}

impl Digest {
    /// Hashes `parts`, each preceded by its length, so that different lists of
    /// parts never produce the same input to the hash.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            let length = u64::try_from(part.len()).unwrap_or(u64::MAX);
            hasher.update(length.to_be_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }
}
