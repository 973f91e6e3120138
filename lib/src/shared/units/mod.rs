//! Newtypes for times, sizes, rates and shares, with the texts that settings use for them.
//!
//! It owns the unit of every number that has one, and the conversions between units: each type
//! holds its number in one unit, parses the text that people write (`FromStr`) and writes it back
//! (`Display`). It relies on nothing else of this library.

mod capacity;
mod count;
mod quantity;
mod rate;
mod size;
mod time;

pub use {
    capacity::Capacity,
    count::Count,
    quantity::{Maybe, NONE_TEXT, UnitError},
    rate::{BitRate, Rate, Share},
    size::ByteSize,
    time::{Millis, Time, WorkMillis},
};
