//! Route matching, and the check whether a configuration is newer.

use std::sync::Arc;

use super::Catalog;

/// Returns the index of the route of `host` with the longest prefix that
/// matches `path`.
///
/// `host` is in lower case, with its port if the request states one, and `path` without its
/// query. A port counts only for routes of a host with this port.
pub fn match_catalog_route(catalog: &Catalog, host: &str, path: &str) -> Option<usize> {
    let of_host = catalog.by_host.get(host);
    let positions = of_host.or_else(|| catalog.by_host.get(without_port(host)))?;
    for position in positions {
        if path.starts_with(&*catalog.routes[*position].prefix) {
            return Some(*position);
        }
    }
    None
}

/// Returns a host name without its port, if it has one.
pub fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Returns whether `offered` replaces `held`.
///
/// Only a higher version does: an older one may arrive late from another
/// source, and a process never returns to an older configuration.
pub fn is_newer(held: Option<&Arc<Catalog>>, offered: &Catalog) -> bool {
    held.is_none_or(|held| offered.version > held.version)
}
