//! Property tests of the reader of response heads, which decides what counts as a
//! response of a target.

// The daemon is a program without a library, so that its reader is compiled into the
// test. The reader of requests is unused here.
#[allow(dead_code, unreachable_pub)]
#[path = "../src/gateway/http1.rs"]
mod http1;

use bytes::BytesMut;
use proptest::prelude::*;

use http1::HttpError;
use http1::ResponseHead;
use http1::take_response_head;

/// The limit for a head and its interim responses.
const HEAD_MAX: usize = 1_024;

const FIELDS: &str = "\r\nContent-Length: 0\r\n\r\n";

/// The start of a response that the reader must not reach behind a malformed one.
const NEXT: &str = "HTTP/1.1 204 Next\r\n\r\n";

fn read(bytes: &[u8]) -> Result<Option<ResponseHead>, HttpError> {
    take_response_head(&mut BytesMut::from(bytes), HEAD_MAX, &mut 0, false)
}

/// Returns the status that was read; 0 if the head is incomplete.
fn status(bytes: &[u8]) -> Result<u16, HttpError> {
    Ok(read(bytes)?.map_or(0, |head| head.status.as_u16()))
}

/// Reads a head whose bytes arrive one by one.
fn read_by_bytes(bytes: &[u8]) -> Result<Option<u16>, HttpError> {
    let mut buffer = BytesMut::new();
    let mut interim_bytes = 0;
    for byte in bytes {
        buffer.extend_from_slice(&[*byte]);
        if let Some(head) = take_response_head(&mut buffer, HEAD_MAX, &mut interim_bytes, false)? {
            return Ok(Some(head.status.as_u16()));
        }
    }
    Ok(None)
}

/// Guards against passing on statuses such as 000 and 999: of all numbers with three
/// digits only 200 to 599 are responses, and 1xx without 101 are interim responses.
#[test]
fn only_100_to_599_are_responses() {
    for code in 0..=999_u16 {
        for reason in ["", " ", " Some Reason", " 200 OK"] {
            let bytes = format!("HTTP/1.1 {code:03}{reason}{FIELDS}{NEXT}");
            let expected = match code {
                200..=599 => Ok(code),
                100 | 102..=199 => Ok(204),
                _ => Err(HttpError::Malformed),
            };
            assert_eq!(status(bytes.as_bytes()), expected, "{bytes}");
        }
    }
}

/// The places of a status line where it may be malformed in other ways than by its
/// number: no space or two before the status, other characters at its start, in it or
/// behind it, control characters in the reason, and text before the version.
#[test]
fn other_malformed_status_lines_are_no_responses() {
    let lines = [
        "HTTP/1.1200 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1\t200 OK",
        "HTTP/1.1 200\tOK",
        "HTTP/1.1 200OK",
        "HTTP/1.1 2 00 OK",
        "HTTP/1.1 OK",
        "HTTP/1.1 ",
        "HTTP/1.1",
        "HTTP/1.1 200 O\0K",
        "HTTP/1.1 200 O\u{7f}K",
        " HTTP/1.1 200 OK",
        "HTTP /1.1 200 OK",
        "ICY 200 OK",
        "200 OK",
        "GET / HTTP/1.1",
    ];
    for line in lines {
        let bytes = format!("{line}{FIELDS}{NEXT}");
        assert_eq!(
            status(bytes.as_bytes()),
            Err(HttpError::Malformed),
            "{line}"
        );
    }
}

/// What RFC 9112 lets a reader accept, and this one does: an empty line before the status
/// line (section 2.2), a line that ends without a carriage return (section 2.2), and a
/// status line without a reason (section 4).
#[test]
fn tolerated_status_lines_are_responses() {
    for bytes in [
        "\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\nContent-Length: 0\n\n",
        "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
    ] {
        assert_eq!(status(bytes.as_bytes()), Ok(200), "{bytes}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: prop::test_runner::RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a status of fewer or more digits than three, or with signs, spaces
    /// or letters.
    #[test]
    fn a_status_has_three_digits(text in "[0-9A-Za-z+. -]{0,6}", reason in "( [ -~]{0,20})?") {
        let line = format!("{text}{reason}");
        let code = line.get(..3).filter(|code| code.bytes().all(|byte| byte.is_ascii_digit()));
        let code = code.filter(|_| line.len() == 3 || line.as_bytes()[3] == b' ');
        let code: Option<u16> = code.and_then(|code| code.parse().ok());
        let is_valid = code.is_some_and(|code| (100..=599).contains(&code) && code != 101);
        let bytes = format!("HTTP/1.1 {line}{FIELDS}{NEXT}");
        prop_assert_eq!(status(bytes.as_bytes()).is_ok(), is_valid, "{}", line);
    }

    /// Guards against responses in another protocol or version, whose framing may differ.
    #[test]
    fn only_versions_1_0_and_1_1_are_responses(
        name in "HTTP|http|Http|HTTPS|RTSP|[A-Z]{1,5}",
        version in "1\\.0|1\\.1|[0-9]\\.[0-9]|[0-9]{1,3}|1\\.1[0-9]|[ -~]{0,4}",
    ) {
        let is_valid = name == "HTTP" && ["1.0", "1.1"].contains(&&*version);
        let bytes = format!("{name}/{version} 200 OK{FIELDS}");
        prop_assert_eq!(status(bytes.as_bytes()) == Ok(200), is_valid, "{}", bytes);
    }

    /// Guards against interim responses that are taken for the response, or that hide a
    /// malformed one.
    #[test]
    fn interim_responses_are_skipped(
        interim in prop::collection::vec(prop_oneof![Just(100_u16), 102..=199_u16], 0..6),
        code in 0..=999_u16,
    ) {
        let mut bytes = String::new();
        for code in interim {
            bytes += &format!("HTTP/1.1 {code} Interim\r\nLink: a\r\n\r\n");
        }
        bytes += &format!("HTTP/1.1 {code:03} Last{FIELDS}");
        let expected = match code {
            200..=599 => Ok(code),
            100 | 102..=199 => Ok(0),
            _ => Err(HttpError::Malformed),
        };
        prop_assert_eq!(status(bytes.as_bytes()), expected);
    }

    /// Guards against a panic on bytes that are no response, and against taking them for
    /// one.
    #[test]
    fn garbage_is_no_response(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let start = bytes.iter().position(|byte| !b"\r\n".contains(byte));
        let is_http = start.is_some_and(|start| bytes[start..].starts_with(b"HTTP/1."));
        prop_assert!(is_http || !matches!(read(&bytes), Ok(Some(_))));
    }

    /// Guards against a status line that is judged by the pieces in which it arrives, and
    /// against a changed byte that makes a malformed line a response with another status
    /// than its text says.
    #[test]
    fn a_changed_byte_is_seen_in_any_pieces(
        code in 200..=599_u16,
        position in 0..40_usize,
        byte in any::<u8>(),
    ) {
        let mut bytes = format!("HTTP/1.1 {code} Some Reason{FIELDS}").into_bytes();
        if let Some(place) = bytes.get_mut(position) {
            *place = byte;
        }
        let whole = status(&bytes);
        prop_assert_eq!(read_by_bytes(&bytes).map(Option::unwrap_or_default), whole);
        if let Ok(read @ 1..) = whole {
            let text = format!(" {read}");
            let is_in_line = bytes.windows(4).any(|part| part == text.as_bytes());
            prop_assert!(is_in_line);
        }
    }
}
