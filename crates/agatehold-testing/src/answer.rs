//! The answer body that belongs to a request.

use agatehold_core::ids::Digest;

/// Returns the body of the answer to a request.
///
/// It depends on every part of the request that the caller chose, so that the
/// answer to another request differs. `answer_bytes=<n>` in the query asks
/// for a body of at least `n` bytes.
pub fn answer_body(method: &str, path_and_query: &str, body: &[u8]) -> Vec<u8> {
    let parts = [method.as_bytes(), path_and_query.as_bytes(), body];
    let line = format!(
        "ran {method} {path_and_query} {}\n",
        Digest::of_parts(&parts)
    );
    let wanted = wanted_bytes(path_and_query);
    let mut answer = line.clone().into_bytes();
    while answer.len() < wanted {
        answer.extend_from_slice(line.as_bytes());
    }
    answer.extend_from_slice(b"end\n");
    answer
}

fn wanted_bytes(path_and_query: &str) -> usize {
    let Some((_, query)) = path_and_query.split_once('?') else {
        return 0;
    };
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix("answer_bytes="))
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}
