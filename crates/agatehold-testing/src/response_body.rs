//! The response body that a target stand-in generates for a request.

use agatehold_core::ids::Digest;

/// Returns the body of the response to a request.
///
/// The body contains a hash of the method, path, query and request body, so
/// that a response to a different request can be detected. `answer_bytes=<n>`
/// in the query requests a body of at least `n` bytes.
pub fn generate_response_body(method: &str, path_and_query: &str, body: &[u8]) -> Vec<u8> {
    let parts = [method.as_bytes(), path_and_query.as_bytes(), body];
    let line = format!(
        "ran {method} {path_and_query} {}\n",
        Digest::of_parts(&parts)
    );
    let min_bytes = requested_bytes(path_and_query);
    let mut answer = line.clone().into_bytes();
    while answer.len() < min_bytes {
        answer.extend_from_slice(line.as_bytes());
    }
    answer.extend_from_slice(b"end\n");
    answer
}

fn requested_bytes(path_and_query: &str) -> usize {
    let Some((_, query)) = path_and_query.split_once('?') else {
        return 0;
    };
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix("answer_bytes="))
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}
