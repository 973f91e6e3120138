//! Which data centres are evacuated, as far as a daemon knows.
//!
//! Owns the evacuations in force and the revision of the directory up to which none is missing. Daemons
//! exchange the whole of it in their heartbeats and merge what they receive: the order in which reports
//! arrive doesn't matter, and one that is older than what is known changes nothing. An order of an earlier era of the
//! directory stands although a later one lacks it: it may not have been written again yet.

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

/// The evacuated data centres as of a revision of the directory.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    into = "(u64, Vec<(DataCentreHash, u64)>)",
    from = "(u64, Vec<(DataCentreHash, u64)>)"
)]
pub struct Evacuations {
    /// Revision up to which no change is missing; 0 if nothing is known.
    until: Revision,
    /// The evacuated data centres, each with the revision at which its evacuation was last ordered.
    ordered: BTreeMap<DataCentreHash, Revision>,
}

/// Writes numbers alone; the message has the era, and lacks orders of earlier ones.
impl From<Evacuations> for (u64, Vec<(DataCentreHash, u64)>) {
    fn from(evacuations: Evacuations) -> Self {
        let Evacuations { until, ordered } = evacuations.without_held();
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

/// A change of the order to evacuate a data centre, as the directory reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationOrder {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Revision of the change.
    pub revision: Revision,
    /// Set if the data centre is evacuated from then on, unset if the order was withdrawn.
    pub evacuated: bool,
}

impl Evacuations {
    /// Returns the evacuations of a whole list of orders, read at a revision.
    pub fn listed<'a>(until: Revision, orders: impl Iterator<Item = &'a EvacuationOrder>) -> Self {
        let in_force = orders.filter(|order| order.evacuated);
        Self {
            until,
            ordered: in_force
                .map(|order| (data_centre_hash(&order.data_centre), order.revision))
                .collect(),
        }
    }

    /// Returns the revision up to which no change is missing; 0 if nothing is known.
    pub fn until(&self) -> Revision {
        self.until
    }

    /// Returns the evacuations of a message of an era, which has their numbers alone.
    #[must_use]
    pub fn in_era(&self, era: Era) -> Self {
        let set = |revision: &Revision| Revision::new(era, revision.number);
        let orders = self.ordered.iter();
        Self {
            until: set(&self.until),
            ordered: orders.map(|(place, at)| (*place, set(at))).collect(),
        }
    }

    /// Returns whether there are orders of an earlier era, which may not have been written again yet.
    pub fn has_held(&self) -> bool {
        self.ordered.values().any(|at| at.era < self.until.era)
    }

    /// Returns the evacuations without orders of an earlier era.
    #[must_use]
    pub fn without_held(mut self) -> Self {
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

    /// Returns whether no data centre is evacuated, as far as is known.
    pub fn is_empty(&self) -> bool {
        self.ordered.is_empty()
    }

    /// Returns the evacuations after the changes that followed this state, complete up to a revision.
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

    /// Returns what this state and another one know together. An evacuation that only one of them knows
    /// was withdrawn if the other's knowledge is newer than the order and of the same era, and is new to it otherwise.
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
