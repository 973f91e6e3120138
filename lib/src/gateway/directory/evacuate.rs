//! Applies and withdraws orders to evacuate data centres, as reported by the directory or by peers.
//!
//! Relies on [`Evacuations`], which decides which report is newer. The rule
//! [`eligibility`](crate::gateway::rules::eligibility) excludes endpoints in an evacuated data centre from new work.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            directory::{
                evacuations::{EvacuationOrder, Evacuations},
                source::{Item, ItemKey, Items},
            },
            hashes::{DataCentreHash, data_centre_hash},
            state::{Gateway, GatewayState},
        },
        shared::units::Millis,
    },
    std::{collections::BTreeSet, fmt::Display},
};

/// Time for which an order of an earlier era stays in force although a directory restored from an older copy lacks it.
/// Within this time operators are expected to write it again.
const REWRITE_TIME: Millis = Millis(10_000);

impl GatewayState {
    /// Returns the name of a data centre as its endpoints state it; its hash in hexadecimal if no endpoint is there.
    pub(crate) fn data_centre_name(&self, hash: DataCentreHash) -> String {
        let mut data_centres = self
            .endpoints
            .members()
            .map(|member| &member.entry.data_centre);
        let data_centre = data_centres.find(|data_centre| data_centre_hash(data_centre) == hash);
        data_centre.map_or_else(|| format!("{:08x}", hash.0), ToString::to_string)
    }
}

impl<D: Dialect> Gateway<D> {
    /// Applies the orders in a whole list of the operator topic.
    pub(crate) fn apply_listed_evacuations(&self, items: &Items, source: &str) {
        let listed = Evacuations::listed(items.revision, orders(items).iter());
        self.merge_evacuations(&listed, source);
    }

    /// Applies changed orders, which are complete up to the revision of `items`.
    pub(crate) fn apply_changed_evacuations(&self, items: &Items, source: &str) {
        let known = self.state.borrow().evacuations.clone();
        self.set_evacuations(known.after(items.revision, orders(items).iter()), source);
    }

    /// Merges the evacuations that another daemon or the directory reports.
    pub fn merge_evacuations(&self, other: &Evacuations, source: impl Display) {
        let merged = self.state.borrow().evacuations.merged(other);
        self.set_evacuations(merged, source);
    }

    /// Drops orders of an earlier era of the directory that operators didn't write again in time.
    pub(crate) fn expire_earlier_orders(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if !state.evacuations.has_earlier_eras() {
            state.earlier_orders = None;
            return;
        }
        let since = *state.earlier_orders.get_or_insert(now);
        if now.since(since) < REWRITE_TIME.to_duration() {
            return;
        }
        let remaining = state.evacuations.clone().without_earlier_eras();
        drop(state);
        self.set_evacuations(remaining, "not written again");
    }

    fn set_evacuations(&self, next: Evacuations, source: impl Display) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let is_same = state.evacuations.data_centres().eq(next.data_centres());
        state.evacuations = next;
        if is_same {
            return;
        }
        let until = state.evacuations.until();
        let after: BTreeSet<DataCentreHash> = state.evacuations.data_centres().collect();
        let before = state.endpoints.set_evacuated(now, after.clone());
        for data_centre in after.difference(&before) {
            let name = state.data_centre_name(*data_centre);
            log::warn!(data_centre = name.as_str(), revision:% = until, source:%; "evacuation.began");
        }
        for data_centre in before.difference(&after) {
            let name = state.data_centre_name(*data_centre);
            log::warn!(data_centre = name.as_str(), revision:% = until, source:%; "evacuation.ended");
        }
        drop(state);
        self.metrics.set_evacuated(after.len());
        self.invalidate_stage_queues();
        // Daemons that rely on this one would otherwise receive the change up to 200 ms later.
        self.announcement.notify_one();
    }
}

fn orders(items: &Items) -> Vec<EvacuationOrder> {
    items.items.iter().filter_map(order).collect()
}

fn order(item: &Item) -> Option<EvacuationOrder> {
    let ItemKey::Evacuation(data_centre) = &item.key else {
        return None;
    };
    Some(EvacuationOrder {
        data_centre: data_centre.clone(),
        revision: item.revision,
        evacuated: item.value.is_some(),
    })
}
