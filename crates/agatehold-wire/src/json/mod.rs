//! JSON forms that the platform's records and the admin address share.

mod note;
pub(crate) mod text;

pub use note::HeadJson;
pub(crate) use note::NoteJson;
