//! Newtypes for times, sizes, rates and shares, with the text form that settings use for them.
//!
//! Defines the unit of every number that has one, and the conversions between units. Each type holds its number in one
//! unit, parses the text form (`FromStr`) and writes it (`Display`).

mod capacity;
mod count;
mod quantity;
mod rate;
mod size;
mod time;

pub use {
    capacity::Capacity,
    count::Count,
    quantity::{NONE_TEXT, Optional, UnitError},
    rate::{BitRate, Rate, Share},
    size::ByteSize,
    time::{Millis, Time, WorkMillis},
};
