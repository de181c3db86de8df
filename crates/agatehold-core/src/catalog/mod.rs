//! Versioned configurations as the platform stores them: each version is a
//! complete catalog of all routes, services and limits.

mod matching;
mod rows;
mod version;

pub use matching::is_newer;
pub use matching::match_catalog_route;
pub use rows::CallerLimits;
pub use rows::Catalog;
pub use rows::CatalogRoute;
pub use rows::CatalogService;
pub use rows::WeightedService;
pub use version::ConfigVersion;
