//! Releases notes to a fleet in the way the operators' tool does. There is only
//! one writer, so that conflicts are not handled.

use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;

use agatehold_core::config::ConfigTables;
use agatehold_core::config::config_digest;
use agatehold_core::ids::NoteNumber;
use agatehold_core::note::Head;
use agatehold_core::note::HeadRecord;
use agatehold_core::note::NoteHeader;
use agatehold_core::note::StoredNote;
use agatehold_core::note::apply;
use agatehold_core::note::body_digest;
use agatehold_core::note::note_id;
use agatehold_settings::note::parse_note;
use agatehold_wire::platform::PlatformAnswer;
use agatehold_wire::platform::PlatformRequest;
use agatehold_wire::platform::ValueVersion;
use agatehold_wire::platform::encode_head;
use agatehold_wire::platform::encode_note;
use agatehold_wire::platform::head_key;
use agatehold_wire::platform::note_key;

use crate::common::call_platform;

use super::FleetOptions;

/// The only writer of a platform's notes.
#[derive(Debug)]
pub struct NoteWriter {
    platform: SocketAddr,
    config: ConfigTables,
    head: Head,
    version: ValueVersion,
}

impl NoteWriter {
    /// Creates the writer for a platform without notes.
    pub(super) fn new(platform: SocketAddr) -> Self {
        Self {
            platform,
            config: ConfigTables::default(),
            head: Head::default(),
            version: ValueVersion(0),
        }
    }

    /// Returns the head after the last release.
    pub const fn head(&self) -> Head {
        self.head
    }

    /// Releases the note `text` and returns its number.
    pub fn release(&mut self, text: &str) -> io::Result<NoteNumber> {
        let note = parse_note("note", text)
            .map_err(|errors| io::Error::other(format!("{errors:?}")))?
            .note;
        let config =
            apply(&self.config, &note).map_err(|errors| io::Error::other(format!("{errors:?}")))?;
        let header = NoteHeader {
            number: self.head.number.next(),
            id: note_id(text, "test", Some(self.head.number)),
            prev: self.head.hash,
            body: body_digest(text),
            config: config_digest(&config),
            author: "test".into(),
        };
        let head = header.head();
        let record = StoredNote {
            header: header.clone(),
            text: text.into(),
        };
        self.call(&PlatformRequest::Create {
            key: note_key(head.number, header.id),
            value: encode_note(&record).map_err(io::Error::other)?,
            lease: None,
        })?;
        let value = encode_head(&HeadRecord {
            head,
            id: header.id,
            config: header.config,
        })
        .map_err(io::Error::other)?;
        let key = head_key();
        let answer = self.call(&match self.version {
            ValueVersion(0) => PlatformRequest::Create {
                key,
                value,
                lease: None,
            },
            version => PlatformRequest::CompareAndSwap {
                key,
                version,
                value,
                lease: None,
            },
        })?;
        let PlatformAnswer::Stored { version } = answer else {
            return Err(io::Error::other(format!(
                "the platform did not store the new note head: {answer:?}"
            )));
        };
        self.version = version;
        self.head = head;
        self.config = config;
        Ok(head.number)
    }

    fn call(&self, request: &PlatformRequest) -> io::Result<PlatformAnswer> {
        call_platform(self.platform, request).map_err(io::Error::other)
    }
}

/// Returns a note with the service `certificates`, its routes and targets, and
/// the tenant `exporter`. Non-idempotent requests need an idempotency key,
/// except those to `/unkeyed`.
pub(super) fn first_note(targets: &[SocketAddr], options: &FleetOptions) -> String {
    let mut text = format!(
        "[note]\ncomment = first note\n\n\
         [service certificates]\nfloor = {}\nclass = urgent\nprofile = detection-first\n\n\
         [route certificates]\nservice = certificates\npath_prefix = /\n\n\
         [route unkeyed]\nservice = certificates\npath_prefix = /unkeyed\nrequire_key = no\n\n\
         [tenant exporter]\nrate_per_s = 100000\nburst = 100000\n",
        options.floor,
    );
    for (number, address) in targets.iter().enumerate() {
        // Writing to a string does not fail.
        let _ = write!(
            text,
            "\n[target certificates-{number}]\nservice = certificates\naddress = {address}\n\
             failure_domain = domain-{}\nslots = {}\n",
            number % 3,
            options.slots,
        );
    }
    text
}
