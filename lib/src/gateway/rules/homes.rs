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
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// The regions of data centres.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions(pub BTreeMap<DataCentreId, RegionId>);

impl Regions {
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
