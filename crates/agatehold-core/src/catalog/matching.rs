//! Route matching, and the check whether a configuration is newer.

use std::sync::Arc;

use super::Catalog;

/// Returns the index of the route of `host` with the longest prefix that
/// matches `path`.
///
/// `host` is in lower case and without its port, `path` without its query.
pub fn match_catalog_route(catalog: &Catalog, host: &str, path: &str) -> Option<usize> {
    let positions = catalog.by_host.get(host)?;
    for position in positions {
        if path.starts_with(&*catalog.routes[*position].prefix) {
            return Some(*position);
        }
    }
    None
}

/// Returns whether `offered` replaces `held`.
///
/// Only a higher version does: an older one may arrive late from another
/// source, and a process never returns to an older configuration.
pub fn is_newer(held: Option<&Arc<Catalog>>, offered: &Catalog) -> bool {
    held.is_none_or(|held| offered.version > held.version)
}
