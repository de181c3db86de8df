//! Standard base64 with padding.

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes.
pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut number = 0_u32;
        for position in 0..3 {
            number = (number << 8) | u32::from(part.get(position).copied().unwrap_or(0));
        }
        for digit in 0..4 {
            if digit > part.len() {
                text.push('=');
                continue;
            }
            let index = (number >> (18 - 6 * digit)) & 63;
            text.push(char::from(DIGITS[index as usize]));
        }
    }
    text
}
