//! Applies the allotments of tenants: takes a token for each request, and exchanges tokens
//! with other daemons over the socket for evidence.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::Notify;

use agatehold_core::directory::EntryDemand;
use agatehold_core::directory::entry_daemons;
use agatehold_core::ids::HostId;
use agatehold_core::ids::TenantName;
use agatehold_core::limits::allotments::AllotmentEntry;
use agatehold_core::limits::allotments::AllotmentTable;
use agatehold_core::limits::allotments::Ask;
use agatehold_core::limits::allotments::TakenToken;
use agatehold_core::limits::allotments::part_holders;
use agatehold_core::tenants::Allotment;
use agatehold_core::tenants::TenantRow;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

use super::allotment_messages::AskMessage;
use super::allotment_messages::GrantMessage;
use super::allotment_messages::encode_ask;
use super::allotment_messages::encode_grant;
use super::allotment_messages::process_mark;
use super::shared::View;
use super::traffic::TrafficState;

/// How long a request without a token waits for grants. Round trips take up to 10 ms.
const WAIT_MS: DurationMs = DurationMs(40);

/// The time between two asks while a request waits: an answer may have been lost, or less
/// may have been granted than expected.
const ASK_INTERVAL: Duration = Duration::from_millis(5);

/// The hash key by which the daemons that hold parts of allotments are chosen.
const HOLDERS_SUBJECT: &str = "allotments";

/// The allotments in the traffic thread.
pub(super) struct Allotments {
    pub(super) table: RefCell<AllotmentTable>,
    /// Wakes the requests that wait for grants.
    granted: Notify,
    /// The mark of this process in asks.
    process: u64,
    /// Fractions of tokens that the counters have not counted yet.
    uncounted_granted: Cell<f64>,
    uncounted_received: Cell<f64>,
}

/// A token that a request holds until it is sent.
#[derive(Clone, Debug)]
pub(super) struct HeldToken {
    tenant: TenantName,
    taken: TakenToken,
}

impl Allotments {
    /// Creates the allotments of a process that starts.
    pub(super) fn new(table: AllotmentTable, host: &HostId, random: u64) -> Self {
        Self {
            table: RefCell::new(table),
            granted: Notify::new(),
            process: process_mark(host, random),
            uncounted_granted: Cell::new(0.0),
            uncounted_received: Cell::new(0.0),
        }
    }
}

/// Counts a request as waiting while it exists, also if its task is cancelled.
struct WaitingGuard<'a> {
    state: &'a TrafficState,
    tenant: &'a TenantName,
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        let mut table = self.state.allotments.table.borrow_mut();
        table.end_waiting(self.tenant);
    }
}

/// Takes a token for a request of a tenant, waiting for grants if there is none. Returns
/// `None` if the tenant has no limit; fails with the time after which the request should
/// come back.
pub(super) async fn admit(
    state: &TrafficState,
    tenant: &TenantRow,
) -> Result<Option<HeldToken>, DurationMs> {
    let Some(allotment) = &tenant.allotment else {
        return Ok(None);
    };
    state.check_suspension();
    let now = state.shared.clock.now();
    record_store_answer(state, &state.view(), now);
    let taken = state
        .allotments
        .table
        .borrow_mut()
        .take(&tenant.name, allotment, now);
    let taken = match taken {
        Some(taken) => {
            send_asks(state, now);
            Some(taken)
        }
        None => wait_for_token(state, &tenant.name, allotment).await,
    };
    if let Some(taken) = taken {
        return Ok(Some(HeldToken {
            tenant: tenant.name.clone(),
            taken,
        }));
    }
    metrics::counter!("agatehold_rate_limited_total").increment(1);
    let now = state.shared.clock.now();
    let mut table = state.allotments.table.borrow_mut();
    Err(table.retry_after(&tenant.name, allotment, now))
}

async fn wait_for_token(
    state: &TrafficState,
    tenant: &TenantName,
    allotment: &Allotment,
) -> Option<TakenToken> {
    let table = &state.allotments.table;
    let begun_at = state.shared.clock.now();
    table
        .borrow_mut()
        .start_waiting(tenant, allotment, begun_at);
    let _waiting = WaitingGuard { state, tenant };
    loop {
        let now = state.shared.clock.now();
        let granted = state.allotments.granted.notified();
        let taken = table.borrow_mut().take_waiting(tenant, allotment, now);
        if taken.is_some() {
            return taken;
        }
        let left_ms = WAIT_MS.saturating_sub(now.since(begun_at));
        if left_ms.0 == 0 {
            return None;
        }
        send_asks(state, now);
        if !table.borrow().may_get_token(tenant, left_ms, now) {
            return None;
        }
        // Whichever comes first, the table is asked again.
        let _ = tokio::time::timeout(ASK_INTERVAL, granted).await;
    }
}

/// Gives the token of a request back that was sent to no target.
pub(super) fn give_back(state: &TrafficState, token: &HeldToken) {
    let now = state.shared.clock.now();
    let mut table = state.allotments.table.borrow_mut();
    table.give_back(&token.tenant, token.taken, now);
}

/// Sends what the table needs from other daemons.
fn send_asks(state: &TrafficState, now: TimeMs) {
    let asks = state.allotments.table.borrow_mut().needs(now);
    send(state, asks);
}

fn send(state: &TrafficState, asks: Vec<Ask>) {
    if asks.is_empty() {
        return;
    }
    let view = state.view();
    for ask in asks {
        let Some(member) = view.members.get(&ask.to) else {
            continue;
        };
        let bytes = encode_ask(&AskMessage {
            process: state.allotments.process,
            number: ask.number,
            items: ask.items,
        });
        metrics::counter!("agatehold_token_asks_total").increment(1);
        // A lost datagram is acceptable: others are asked after a few milliseconds.
        let _ = state.evidence.try_send_to(&bytes, member.evidence);
    }
}

/// Answers an ask of another daemon.
pub(super) fn answer_ask(state: &TrafficState, message: &AskMessage, from: SocketAddr) {
    let now = state.shared.clock.now();
    let view = state.view();
    state.check_suspension();
    record_store_answer(state, &view, now);
    let tenants = view.catalog.as_ref();
    let tenants = tenants.and_then(|catalog| catalog.tenants.as_ref());
    let allotment_of = |tenant: &TenantName| tenants?.by_name(tenant)?.allotment;
    let grant = {
        let mut table = state.allotments.table.borrow_mut();
        table.grant(
            message.process,
            message.number,
            &message.items,
            allotment_of,
            now,
        )
    };
    let tokens: f64 = grant.items.iter().map(|item| item.tokens).sum();
    let bytes = encode_grant(&GrantMessage {
        process: message.process,
        grant,
    });
    // If the datagram is lost, so are its tokens, but none is used twice.
    let _ = state.evidence.try_send_to(&bytes, from);
    let counted = count_whole(&state.allotments.uncounted_granted, tokens);
    metrics::counter!("agatehold_tokens_granted_total").increment(counted);
}

/// Applies the answer of another daemon and wakes the requests that wait.
pub(super) fn apply_grant(state: &TrafficState, message: &GrantMessage) {
    if message.process != state.allotments.process {
        return;
    }
    let now = state.shared.clock.now();
    let tokens = {
        let mut table = state.allotments.table.borrow_mut();
        table.apply_grant(&message.grant, now)
    };
    let counted = count_whole(&state.allotments.uncounted_received, tokens);
    metrics::counter!("agatehold_tokens_received_total").increment(counted);
    state.allotments.granted.notify_waiters();
}

/// Returns the whole tokens to count, and keeps the fraction for the next call.
fn count_whole(uncounted: &Cell<f64>, tokens: f64) -> u64 {
    let sum = uncounted.get() + tokens;
    uncounted.set(sum.fract());
    sum as u64
}

/// Divides the allotments among the daemons of a new view that hold parts.
///
/// These are the strongest hosts of the fleet, spread over the failure domains. The entry
/// daemons change with the number of targets, and each change leaves parts unused for a
/// while. A daemon that stops is not left out, since it mostly starts again.
pub(super) fn set_parts(state: &TrafficState, view: &View, now: TimeMs) {
    let mut members = view.members.clone();
    for (_, member) in members.rows_mut() {
        member.leaving = false;
    }
    let demand = EntryDemand {
        least: part_holders(members.len()),
        capacity_millicores: 0,
    };
    let mut entries = Vec::new();
    for (host, member) in entry_daemons(members.rows(), HOLDERS_SUBJECT, demand) {
        entries.push(AllotmentEntry {
            host: host.clone(),
            failure_domain: member.failure_domain.clone(),
        });
    }
    entries.sort_by(|a, b| a.host.cmp(&b.host));
    let mut table = state.allotments.table.borrow_mut();
    table.set_parts(entries, now);
}

/// Runs the periodic work: the answer of the store or of another daemon keeps the parts,
/// idle tenants are forgotten, and a change of the parts is logged.
pub(super) fn tick(state: &TrafficState, now: TimeMs) {
    let view = state.view();
    record_store_answer(state, &view, now);
    let tenants = view.catalog.as_ref();
    let tenants = tenants.and_then(|catalog| catalog.tenants.as_ref());
    if tenants.is_none_or(|tenants| tenants.rows().iter().all(|row| row.allotment.is_none())) {
        return;
    }
    let (probes, change) = {
        let mut table = state.allotments.table.borrow_mut();
        table.sweep(now);
        (table.probes(now), table.take_part_change(now))
    };
    send(state, probes);
    if let Some(change) = change {
        log::info!(
            "event=allotment_parts entries={} divided_by={} has_part={}",
            change.entries,
            change.divisor,
            change.has_part
        );
    }
}

/// Records that the store answers, unless its calls fail.
fn record_store_answer(state: &TrafficState, view: &View, now: TimeMs) {
    if view.store_unavailable_since.is_none() && view.is_ready() {
        let mut table = state.allotments.table.borrow_mut();
        table.record_answer(now);
    }
}
