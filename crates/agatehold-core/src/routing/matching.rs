//! Finds the route of a request.

use crate::config::Idempotence;
use crate::config::RouteRow;

use super::RouteEntry;
use super::RoutingTable;

/// Returns the route with the longest matching path prefix.
///
/// `host` is the host name of the request without its port. Among routes with
/// the same prefix, one for this host is preferred to one for all hosts.
pub fn match_route<'a>(
    table: &'a RoutingTable,
    host: &str,
    path: &str,
    method: &str,
) -> Option<&'a RouteEntry> {
    let mut prefix = path.trim_end_matches('/');
    loop {
        if let Some(route) = match_at_prefix(table, prefix, host, method) {
            return Some(route);
        }
        let cut = prefix.rfind('/')?;
        prefix = &prefix[..cut];
    }
}

/// Returns the route with exactly this path prefix that matches the host and the
/// method.
fn match_at_prefix<'a>(
    table: &'a RoutingTable,
    prefix: &str,
    host: &str,
    method: &str,
) -> Option<&'a RouteEntry> {
    let positions = table.routes_by_prefix.get(prefix)?;
    let mut any_host = None;
    for position in positions {
        let route = &table.routes[*position];
        if !accepts_method(&route.row, method) {
            continue;
        }
        match &route.row.host {
            Some(name) if name.eq_ignore_ascii_case(host) => return Some(route),
            Some(_) => continue,
            None => any_host = any_host.or(Some(route)),
        }
    }
    any_host
}

fn accepts_method(row: &RouteRow, method: &str) -> bool {
    row.methods.is_empty() || row.methods.iter().any(|accepted| **accepted == *method)
}

/// Returns whether a request on the route may run more than once.
///
/// `marked_non_idempotent` tells whether the caller has marked the request as
/// non-idempotent, which overrides the route's policy. A caller can't mark a
/// request as idempotent.
pub fn is_idempotent(row: &RouteRow, method: &str, marked_non_idempotent: bool) -> bool {
    if marked_non_idempotent {
        return false;
    }
    match row.idempotence {
        Idempotence::Yes => true,
        Idempotence::No => false,
        Idempotence::ByMethod => matches!(
            method,
            "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE"
        ),
    }
}
