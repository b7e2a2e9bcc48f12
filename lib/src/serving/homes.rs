//! Homes: the regions in which a route's or client account's requests may be
//! served.

use std::collections::BTreeSet;

use crate::ids::Region;

/// The regions in which a request may be served.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Homes {
    /// `None` if any region will do.
    regions: Option<BTreeSet<Region>>,
}

impl Homes {
    /// Creates the homes of a list of regions; an empty list permits any.
    #[must_use]
    pub fn new(regions: impl IntoIterator<Item = Region>) -> Self {
        let regions: BTreeSet<Region> = regions.into_iter().collect();
        Self {
            regions: (!regions.is_empty()).then_some(regions),
        }
    }

    /// Creates homes that permit the given regions only, possibly none.
    #[must_use]
    pub fn only(regions: impl IntoIterator<Item = Region>) -> Self {
        Self {
            regions: Some(regions.into_iter().collect()),
        }
    }

    /// Returns the regions that both permit.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        let regions = match (&self.regions, &other.regions) {
            (Some(a), Some(b)) => Some(a & b),
            (a, b) => a.as_ref().or(b.as_ref()).cloned(),
        };
        Self { regions }
    }

    /// Returns whether a request may be served in a region.
    ///
    /// An endpoint in an unknown region only serves requests without homes.
    #[must_use]
    pub fn allows(&self, region: Option<&Region>) -> bool {
        let Some(regions) = &self.regions else {
            return true;
        };
        region.is_some_and(|r| regions.contains(r))
    }

    /// Returns whether no region is permitted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.regions.as_ref().is_some_and(BTreeSet::is_empty)
    }

    /// Returns the regions; none if any will do.
    pub fn iter(&self) -> impl Iterator<Item = &Region> {
        self.regions.iter().flatten()
    }
}
