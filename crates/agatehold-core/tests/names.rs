//! Tests the names that other systems choose.

mod support;

use std::collections::BTreeMap;

use proptest::prelude::*;

use agatehold_core::ids::HostId;
use agatehold_core::ids::ServiceName;
use agatehold_core::ids::TargetName;
use agatehold_core::ids::is_header_text;

/// The length of a DNS label, which messages between daemons leave room for.
const NAME_MAX_BYTES: usize = 63;

/// Guards against names that are changed although nothing stands against them: they would
/// be hard to find in logs.
#[test]
fn names_of_usual_characters_are_kept() {
    for text in [
        "cierres_2",
        "Archive.V2",
        "caf\u{e9}",
        "a",
        "a:b/c@d",
        "-x-",
    ] {
        assert_eq!(ServiceName::external(text).as_str(), text);
    }
    let longest = "x".repeat(NAME_MAX_BYTES);
    assert_eq!(HostId::external(&longest).as_str(), longest);
}

/// Guards against requests to a target that is named by a header which does not arrive as
/// it was sent, and is refused or taken for another.
#[test]
fn target_names_fit_into_a_header() {
    for text in ["I_7F.x:y", "a b", "caf\u{e9}", &"i".repeat(192)] {
        let name = TargetName::external(text).expect("a name");
        assert_eq!(name.as_str(), text);
    }
    for text in ["", " a", "a ", "\ta", "a\r\nb", "a\0", "a\u{7f}"] {
        assert_eq!(TargetName::external(text), None, "{text:?}");
        assert!(!is_header_text(text), "{text:?}");
    }
}

proptest! {
    #![proptest_config(support::settings(512))]

    /// Guards against names that break log lines or datagrams, that two texts share, or
    /// that another daemon reads as a different name.
    #[test]
    fn any_text_has_a_name_of_one_short_word(
        texts in prop::collection::vec("(?s).{0,80}|[a-c ]{0,4}|[a-z]{50,90}", 1..40),
    ) {
        let mut text_of: BTreeMap<ServiceName, &str> = BTreeMap::new();
        for text in &texts {
            let name = ServiceName::external(text);
            prop_assert!(!name.as_str().is_empty() && name.as_str().len() <= NAME_MAX_BYTES);
            let is_word = |char: char| !char.is_whitespace() && !char.is_control() && char != '"';
            prop_assert!(name.as_str().chars().all(is_word), "{name:?}");
            prop_assert_eq!(&ServiceName::external(name.as_str()), &name);
            let other = text_of.insert(name, text);
            prop_assert!(other.is_none_or(|other| other == text));
        }
    }
}
