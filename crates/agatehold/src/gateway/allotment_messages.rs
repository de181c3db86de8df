//! Messages by which daemons ask each other for tokens of tenants, and their JSON encoding.

use serde::Deserialize;
use serde::Serialize;

use agatehold_core::ids::Digest;
use agatehold_core::ids::HostId;
use agatehold_core::ids::TenantName;
use agatehold_core::limits::allotments::AskNumber;
use agatehold_core::limits::allotments::Grant;
use agatehold_core::limits::allotments::GrantItem;

/// The steps of token amounts in messages, per token. Amounts are rounded down, so that
/// a grant is never larger than what was deducted.
const STEPS_PER_TOKEN: f64 = 10_000.0;

/// The largest amount in a message; larger ones are malformed.
const TOKENS_MAX: f64 = 1e9;

/// A datagram that asks for tokens.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct AskMessage {
    /// The process that asks, so that a grant to the one before on its host is not taken
    /// for its own.
    pub(super) process: u64,
    /// The number of the ask.
    pub(super) number: AskNumber,
    /// The tokens asked for; empty if the sender only needs an answer.
    pub(super) items: Vec<(TenantName, f64)>,
}

/// A datagram that grants tokens.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct GrantMessage {
    /// The process that asked.
    pub(super) process: u64,
    /// What is granted.
    pub(super) grant: Grant,
}

#[derive(Serialize, Deserialize)]
pub(super) struct AskJson {
    ask: u64,
    process: u64,
    items: Vec<(String, f64)>,
}

#[derive(Serialize, Deserialize)]
pub(super) struct GrantJson {
    grant: u64,
    process: u64,
    from: String,
    /// The tenant, the tokens granted, and the tokens that are left.
    items: Vec<(String, f64, f64)>,
}

/// Returns the mark of a process in the messages: the first digits of the hash of its
/// host and a random number.
pub(super) fn process_mark(host: &HostId, random: u64) -> u64 {
    let digest = Digest::of_parts(&[host.as_str().as_bytes(), &random.to_le_bytes()]);
    let text = digest.to_string();
    // 13 hexadecimal digits are below 2^53, which every JSON reader keeps exactly.
    u64::from_str_radix(&text[..13], 16).unwrap_or(random >> 11)
}

fn round_down(tokens: f64) -> f64 {
    (tokens * STEPS_PER_TOKEN).floor() / STEPS_PER_TOKEN
}

/// Encodes an ask.
pub(super) fn encode_ask(message: &AskMessage) -> Vec<u8> {
    let mut items = Vec::with_capacity(message.items.len());
    for (tenant, tokens) in &message.items {
        // Rounded up: a request needs a whole token.
        let tokens = (tokens * STEPS_PER_TOKEN).ceil() / STEPS_PER_TOKEN;
        items.push((tenant.to_string(), tokens));
    }
    let json = AskJson {
        ask: message.number.0,
        process: message.process,
        items,
    };
    // Strings and finite numbers always serialize to JSON.
    serde_json::to_vec(&json).unwrap_or_default()
}

/// Encodes a grant.
pub(super) fn encode_grant(message: &GrantMessage) -> Vec<u8> {
    let mut items = Vec::with_capacity(message.grant.items.len());
    for item in &message.grant.items {
        items.push((
            item.tenant.to_string(),
            round_down(item.tokens),
            round_down(item.left),
        ));
    }
    let json = GrantJson {
        grant: message.grant.number.0,
        process: message.process,
        from: message.grant.from.to_string(),
        items,
    };
    // Strings and finite numbers always serialize to JSON.
    serde_json::to_vec(&json).unwrap_or_default()
}

/// Decodes an ask; `None` if it is malformed.
pub(super) fn decode_ask(json: AskJson) -> Option<AskMessage> {
    let mut items = Vec::with_capacity(json.items.len());
    for (tenant, tokens) in json.items {
        items.push((TenantName::external(&tenant), valid_tokens(tokens)?));
    }
    Some(AskMessage {
        process: json.process,
        number: AskNumber(json.ask),
        items,
    })
}

/// Decodes a grant; `None` if it is malformed.
pub(super) fn decode_grant(json: GrantJson) -> Option<GrantMessage> {
    let mut items = Vec::with_capacity(json.items.len());
    for (tenant, tokens, left) in json.items {
        items.push(GrantItem {
            tenant: TenantName::external(&tenant),
            tokens: valid_tokens(tokens)?,
            left: valid_tokens(left)?,
        });
    }
    Some(GrantMessage {
        process: json.process,
        grant: Grant {
            from: HostId::external(&json.from),
            number: AskNumber(json.grant),
            items,
        },
    })
}

fn valid_tokens(tokens: f64) -> Option<f64> {
    (0.0..=TOKENS_MAX).contains(&tokens).then_some(tokens)
}
