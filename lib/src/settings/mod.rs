//! The settings tree: documents, inheritance of values, checks, and differences between versions.
//!
//! It relies on `shared` only. The pipeline daemon and the command line read it.

pub mod diff;
pub mod document;
pub mod raw_tree;
pub mod tree;
pub(crate) mod tree_check;
pub mod values;
