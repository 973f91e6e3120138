//! The evacuated data centres that a daemon knows of.
//!
//! Owns the evacuations in force and the revision of the directory up to which none is missing. Daemons exchange this
//! whole state in their heartbeats and merge what they receive: the order of arrival doesn't matter, and a report older
//! than the known state changes nothing. An order of an earlier era of the directory stays in force although the later
//! era lacks it: operators may not have written it again yet.

use {
    crate::{
        gateway::{
            hashes::{DataCentreHash, data_centre_hash},
            revision::{Era, Revision},
        },
        shared::ids::DataCentreId,
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The evacuated data centres as of one revision of the directory.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    into = "(u64, Vec<(DataCentreHash, u64)>)",
    from = "(u64, Vec<(DataCentreHash, u64)>)"
)]
pub struct Evacuations {
    /// Revision up to which no change is missing; 0 before the first report.
    until: Revision,
    /// Evacuated data centres, each with the revision of the last order to evacuate it.
    ordered: BTreeMap<DataCentreHash, Revision>,
}

/// Writes the numbers of the revisions only: the message names the era, and orders of earlier eras are omitted.
impl From<Evacuations> for (u64, Vec<(DataCentreHash, u64)>) {
    fn from(evacuations: Evacuations) -> Self {
        let Evacuations { until, ordered } = evacuations.without_earlier_eras();
        let ordered = ordered.into_iter();
        let numbers = ordered.map(|(data_centre, at)| (data_centre, at.number));
        (until.number, numbers.collect())
    }
}

impl From<(u64, Vec<(DataCentreHash, u64)>)> for Evacuations {
    fn from((until, ordered): (u64, Vec<(DataCentreHash, u64)>)) -> Self {
        let ordered = ordered.into_iter();
        let orders = ordered.map(|(data_centre, number)| (data_centre, number.into()));
        Self {
            until: until.into(),
            ordered: orders.collect(),
        }
    }
}

/// An order to evacuate a data centre, or its withdrawal, as the directory reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationOrder {
    /// Data centre that the order is about.
    pub data_centre: DataCentreId,
    /// Revision at which the order was given or withdrawn.
    pub revision: Revision,
    /// True if the evacuation is ordered; false if the order is withdrawn.
    pub evacuated: bool,
}

impl Evacuations {
    /// Returns the evacuations of a whole list of orders as of a revision.
    pub fn listed<'a>(until: Revision, orders: impl Iterator<Item = &'a EvacuationOrder>) -> Self {
        let in_force = orders.filter(|order| order.evacuated);
        Self {
            until,
            ordered: in_force
                .map(|order| (data_centre_hash(&order.data_centre), order.revision))
                .collect(),
        }
    }

    /// Returns the revision up to which no change is missing; 0 before the first report.
    pub fn until(&self) -> Revision {
        self.until
    }

    /// Returns the evacuations with the era of their message set on all revisions: the evacuations in a message hold
    /// numbers only.
    #[must_use]
    pub fn in_era(&self, era: Era) -> Self {
        let set = |revision: &Revision| Revision::reported(era, revision.number);
        let orders = self.ordered.iter();
        Self {
            until: set(&self.until),
            ordered: orders
                .map(|(data_centre, at)| (*data_centre, set(at)))
                .collect(),
        }
    }

    /// Returns whether there are orders of an earlier era, which operators may not have written again yet.
    pub fn has_earlier_eras(&self) -> bool {
        self.ordered.values().any(|at| at.era < self.until.era)
    }

    /// Returns the evacuations without the orders of earlier eras.
    #[must_use]
    pub fn without_earlier_eras(mut self) -> Self {
        self.ordered.retain(|_, at| at.era >= self.until.era);
        self
    }

    /// Returns whether a data centre is evacuated.
    pub fn contains(&self, data_centre: DataCentreHash) -> bool {
        self.ordered.contains_key(&data_centre)
    }

    /// Returns the evacuated data centres.
    pub fn data_centres(&self) -> impl Iterator<Item = DataCentreHash> {
        self.ordered.keys().copied()
    }

    /// Returns the number of evacuated data centres.
    pub fn len(&self) -> usize {
        self.ordered.len()
    }

    /// Returns whether no evacuated data centre is known.
    pub fn is_empty(&self) -> bool {
        self.ordered.is_empty()
    }

    /// Returns the evacuations after applying `orders`, which are all changes up to the revision `until`.
    #[must_use]
    pub fn after<'a>(
        &self,
        until: Revision,
        orders: impl Iterator<Item = &'a EvacuationOrder>,
    ) -> Self {
        let mut next = self.clone();
        for order in orders.filter(|order| order.revision > self.until) {
            let data_centre = data_centre_hash(&order.data_centre);
            if order.evacuated {
                next.ordered.insert(data_centre, order.revision);
            } else {
                next.ordered.remove(&data_centre);
            }
        }
        next.until = until.max(self.until);
        next
    }

    /// Returns the state that results from merging this one with another. An evacuation that only one of them holds
    /// was withdrawn if the other is complete up to a revision at or after the order in the same era; otherwise it is
    /// new to the other.
    #[must_use]
    pub fn merged(&self, other: &Self) -> Self {
        let mut ordered = self.ordered.clone();
        ordered.retain(|data_centre, revision| {
            let is_withdrawn = *revision <= other.until && revision.era == other.until.era;
            other.contains(*data_centre) || !is_withdrawn
        });
        for (data_centre, revision) in &other.ordered {
            if let Some(known) = ordered.get_mut(data_centre) {
                *known = (*known).max(*revision);
            } else if *revision > self.until {
                ordered.insert(*data_centre, *revision);
            }
        }
        Self {
            until: self.until.max(other.until),
            ordered,
        }
    }
}
