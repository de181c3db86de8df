//! Versioned configurations as the platform stores them: each version is a
//! complete catalog of all routes, services and limits.

mod check;
mod difference;
mod matching;
mod rows;
mod version;

pub use check::Finding;
pub use check::FindingKind;
pub use check::StatedTenant;
pub use check::check_catalog;
pub use check::check_version;
pub use difference::EntryChange;
pub use difference::EntryDifference;
pub use difference::FieldDifference;
pub use difference::compare_catalogs;
pub use matching::is_newer;
pub use matching::match_catalog_route;
pub use matching::without_port;
pub use rows::CallerLimits;
pub use rows::Catalog;
pub use rows::CatalogRoute;
pub use rows::CatalogService;
pub use rows::WeightedService;
pub use version::ConfigVersion;
