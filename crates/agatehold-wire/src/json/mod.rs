//! JSON types that are used both in the platform's records and by the admin API.

mod note;
pub(crate) mod text;

pub use note::HeadJson;
pub(crate) use note::NoteJson;
