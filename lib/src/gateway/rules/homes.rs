//! In which data centres may a request run?
//!
//! Inputs: the regions of its route and of its customer (nothing where either may run anywhere), and the
//! region of each data centre.
//!
//! Rule: where the route or the customer names regions, only in data centres of these, and where both do,
//! of regions that both name. A data centre whose region isn't known is in none of them.
//!
//! Reason: regions are named where data may not leave them by law, so that no load and no failure is a
//! reason to go elsewhere. It holds for the request, its stages, their results, retries and resumed
//! streams; a body goes to the endpoint only, never to another daemon.
//!
//! It has no constants. Tests: `lib/tests/test_homes.rs`.

use {
    crate::{
        gateway::{rules::eligibility::Places, table::HomeRegions},
        shared::ids::{DataCentreId, RegionId},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Hash of a region's name, for messages between daemons that have to fit into a datagram. Two regions that share one
/// count as one, which costs a worse choice and breaks nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RegionHash(pub u32);

/// Returns the hash of a region's name: the lower half of its XXH3.
pub fn region_hash(region: &RegionId) -> RegionHash {
    RegionHash(xxh3_64(region.as_str().as_bytes()) as u32)
}

/// The regions of data centres.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions(pub BTreeMap<DataCentreId, RegionId>);

impl Regions {
    /// Returns the region of a data centre; nothing if it isn't known, or if the installation has no other one.
    pub fn region(&self, data_centre: &DataCentreId) -> Option<RegionHash> {
        let region = self.0.get(data_centre)?;
        let has_others = self.0.values().any(|other| other != region);
        has_others.then(|| region_hash(region))
    }

    /// Returns the regions other than one, each once; none if the installation has one region alone.
    pub fn others(&self, region: Option<RegionHash>) -> BTreeSet<RegionHash> {
        let regions = self.0.values().map(region_hash);
        let mut others: BTreeSet<RegionHash> = regions.collect();
        if region.is_none_or(|region| !others.remove(&region)) {
            others.clear();
        }
        others
    }

    /// Returns those of some places that are in a region; all of them without one.
    pub fn within(&self, places: &Places, region: Option<RegionHash>) -> Places {
        if region.is_none() {
            return places.clone();
        }
        let known = self.0.keys();
        let inside = known.filter(|place| self.region(place) == region && places.allow(place));
        Places::Only(Arc::new(inside.cloned().collect()))
    }

    /// Returns the data centres where requests of a route and a customer may run; they may be none.
    pub fn places(&self, route: &HomeRegions, customer: &HomeRegions) -> Places {
        if route.is_none() && customer.is_none() {
            return Places::Anywhere;
        }
        let is_home = |region: &RegionId| {
            let named = |homes: &HomeRegions| homes.as_ref().is_none_or(|all| all.contains(region));
            named(route) && named(customer)
        };
        let homes = self.0.iter().filter(|(_, region)| is_home(region));
        let places: BTreeSet<DataCentreId> = homes.map(|(place, _)| place.clone()).collect();
        Places::Only(Arc::new(places))
    }
}
