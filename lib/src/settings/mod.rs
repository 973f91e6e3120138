//! The settings tree: documents, inheritance of values, checks, and differences between versions.
//!
//! Used by the pipeline daemon and the command line. It depends on `shared` only.

pub mod diff;
pub mod document;
pub mod raw_tree;
pub mod tree;
pub(crate) mod tree_check;
pub mod values;
