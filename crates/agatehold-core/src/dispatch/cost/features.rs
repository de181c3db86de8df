//! The features of a request that may predict its cost.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use crate::ids::TenantName;

/// The number of path segments after the prefix that are features of their own.
const SEGMENTS_MAX: usize = 4;

/// The number of query parameters that are features of their own.
const PARAMETERS_MAX: usize = 2;

/// The number of kinds of features: the body's size, the tenant, the path segments, the
/// query parameters, and the query as a whole.
pub(super) const KINDS: usize = 3 + SEGMENTS_MAX + PARAMETERS_MAX;

/// What is known of a request before it is sent.
#[derive(Clone, Copy, Debug)]
pub struct RequestTraits<'a> {
    /// The name of the route.
    pub route: &'a str,
    /// The path after the route's prefix.
    pub path: &'a str,
    /// The query without the question mark.
    pub query: Option<&'a str>,
    /// The size of the body.
    pub body_bytes: usize,
    /// The tenant, if the configuration has tenants.
    pub tenant: Option<&'a TenantName>,
}

/// The hashes of a request's features. The hash has a fixed seed, so that runs repeat;
/// callers who make features collide spoil only predictions of their route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CostFeatures {
    /// The hash of the route's name.
    pub(super) route: u64,
    /// The hash of each feature with the route, coarse kinds first; 0 if the request
    /// lacks the feature.
    pub(super) kinds: [u64; KINDS],
}

impl CostFeatures {
    /// Returns the features of a request.
    pub fn of(traits: &RequestTraits<'_>) -> Self {
        let route = hash_of(&(0_u8, traits.route));
        let mut kinds = [0; KINDS];
        // The size class is the number of bits of the size.
        let size_class = usize::BITS - traits.body_bytes.leading_zeros();
        kinds[0] = hash_of(&(route, 0_usize, size_class));
        if let Some(tenant) = traits.tenant {
            kinds[1] = hash_of(&(route, 1_usize, tenant.as_str()));
        }
        let segments = traits.path.split('/').filter(|part| !part.is_empty());
        for (kind, segment) in (2..2 + SEGMENTS_MAX).zip(segments) {
            kinds[kind] = hash_of(&(route, kind, segment));
        }
        if let Some(query) = traits.query {
            let first = 2 + SEGMENTS_MAX;
            for (kind, parameter) in (first..first + PARAMETERS_MAX).zip(query.split('&')) {
                kinds[kind] = hash_of(&(route, kind, parameter));
            }
            kinds[KINDS - 1] = hash_of(&(route, KINDS - 1, query));
        }
        Self { route, kinds }
    }
}

/// Returns a hash with a fixed seed; never 0, which stands for an absent feature.
fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish().max(1)
}
