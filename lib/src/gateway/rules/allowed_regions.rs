//! Decides in which data centres a request may run.
//!
//! Inputs: the allowed regions of its route and of its customer (`None` if they are not restricted), and the region of
//! each data centre.
//!
//! Rule: if the route or the customer is restricted to regions, the request runs only in data centres of these regions;
//! if both are, only in regions that both allow. A data centre whose region isn't known belongs to no region.
//!
//! Reason: allowed regions are set where the law forbids data to leave them, so neither load nor failures justify
//! another region. The rule covers the request, its stages, their results, retries and resumed streams; a body is sent
//! to the endpoint only, never to another daemon.
//!
//! Tests: `lib/tests/test_homes.rs`.

use {
    crate::{
        gateway::{rules::eligibility::AllowedDataCentres, table::AllowedRegions},
        shared::ids::{DataCentreId, RegionId},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Hash of a region's name, for messages between daemons that have to fit into a datagram. Two regions with the same
/// hash are treated as one, which leads to worse choices but not to errors.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RegionHash(pub u32);

/// Returns the hash of a region's name: the lower half of its XXH3.
pub fn region_hash(region: &RegionId) -> RegionHash {
    RegionHash(xxh3_64(region.as_str().as_bytes()) as u32)
}

/// The region of each data centre.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions(pub BTreeMap<DataCentreId, RegionId>);

impl Regions {
    /// Returns the region of a data centre; `None` if it isn't known or the installation has one region only.
    pub fn region(&self, data_centre: &DataCentreId) -> Option<RegionHash> {
        let region = self.0.get(data_centre)?;
        let has_others = self.0.values().any(|other| other != region);
        has_others.then(|| region_hash(region))
    }

    /// Returns all regions other than `region`, each once; none if the installation has one region only.
    pub fn others(&self, region: Option<RegionHash>) -> BTreeSet<RegionHash> {
        let regions = self.0.values().map(region_hash);
        let mut others: BTreeSet<RegionHash> = regions.collect();
        if region.is_none_or(|region| !others.remove(&region)) {
            others.clear();
        }
        others
    }

    /// Returns those of `allowed` that are in `region`, or all of them if `region` is `None`.
    pub fn within(
        &self,
        allowed: &AllowedDataCentres,
        region: Option<RegionHash>,
    ) -> AllowedDataCentres {
        if region.is_none() {
            return allowed.clone();
        }
        let known = self.0.keys();
        let inside = known
            .filter(|data_centre| self.region(data_centre) == region && allowed.allow(data_centre));
        AllowedDataCentres::Only(Arc::new(inside.cloned().collect()))
    }

    /// Returns the data centres where requests of a route and a customer may run; there may be none.
    pub fn allowed(&self, route: &AllowedRegions, customer: &AllowedRegions) -> AllowedDataCentres {
        if route.is_none() && customer.is_none() {
            return AllowedDataCentres::Anywhere;
        }
        let is_allowed = |region: &RegionId| {
            let includes =
                |regions: &AllowedRegions| regions.as_ref().is_none_or(|all| all.contains(region));
            includes(route) && includes(customer)
        };
        let regions = self.0.iter().filter(|(_, region)| is_allowed(region));
        let allowed: BTreeSet<DataCentreId> = regions
            .map(|(data_centre, _)| data_centre.clone())
            .collect();
        AllowedDataCentres::Only(Arc::new(allowed))
    }
}
