//! Finds the route of a request, and the newest configuration.

use std::sync::Arc;

use super::Catalog;

/// Returns the position of the route whose prefix is the longest that begins
/// `path`, among the routes of `host`.
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
/// Only a higher version does: an older one may arrive after a newer one by
/// another way, and a process never goes back.
pub fn newest(held: Option<&Arc<Catalog>>, offered: &Catalog) -> bool {
    held.is_none_or(|held| offered.version > held.version)
}
