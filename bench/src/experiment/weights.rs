//! Weights by name, and weighted random choices.

use {
    rand::{RngExt, rngs::SmallRng},
    std::collections::BTreeMap,
};

/// Weights of targets or of customers by name; only their ratios matter.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Weights(BTreeMap<String, f64>);

impl Weights {
    /// Returns the sum of all weights.
    pub fn total(&self) -> f64 {
        self.0.values().sum()
    }

    /// Returns the share of a name in the sum of all weights, from 0 to 1; 0 for a name without a weight.
    pub fn share(&self, name: &str) -> f64 {
        self.0.get(name).map_or(0.0, |weight| weight / self.total())
    }

    /// Returns whether no name has a weight.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns a weighted choice among the values that `value` builds from the names.
    pub fn choice<V: Clone>(&self, mut value: impl FnMut(&str) -> V) -> WeightedChoice<V> {
        let weighted = self.0.iter().map(|(name, weight)| Weighted {
            value: value(name),
            weight: *weight,
        });
        weighted.collect()
    }
}

impl FromIterator<(String, f64)> for Weights {
    fn from_iter<I: IntoIterator<Item = (String, f64)>>(weights: I) -> Self {
        Self(weights.into_iter().collect())
    }
}

/// A value with its weight.
#[derive(Debug, Clone)]
pub struct Weighted<V> {
    /// Value that can be chosen.
    pub value: V,
    /// Weight of the value, above zero.
    pub weight: f64,
}

/// A weighted random choice among values.
#[derive(Debug, Clone)]
pub struct WeightedChoice<V> {
    values: Vec<Weighted<V>>,
    total: f64,
}

impl<V> FromIterator<Weighted<V>> for WeightedChoice<V> {
    fn from_iter<I: IntoIterator<Item = Weighted<V>>>(values: I) -> Self {
        let values: Vec<_> = values.into_iter().collect();
        Self {
            total: values.iter().map(|weighted| weighted.weight).sum(),
            values,
        }
    }
}

impl<V: Clone> WeightedChoice<V> {
    /// Draws a random value.
    ///
    /// # Panics
    ///
    /// Panics if there is no value or all weights are zero; the reader of experiments rejects both.
    pub fn draw(&self, rng: &mut SmallRng) -> V {
        let mut point = rng.random_range(0.0..self.total);
        for Weighted { value, weight } in &self.values {
            if point < *weight {
                return value.clone();
            }
            point -= weight;
        }
        // Because of rounding in the subtractions, a point close to the total can fall behind the last value.
        self.values[self.values.len() - 1].value.clone()
    }
}
