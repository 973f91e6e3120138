//! The settings tree after parsing: syntax and names are checked, references aren't resolved yet.
//!
//! [`RawTree::read`] reads the root value and every value that it includes. Each kind of node has a file with its type
//! and its reader. Readers add a finding and continue, so that one check reports every error. `document` parses the
//! JSON, and `tree_check` turns the result into a validated tree.

mod customer;
mod group;
mod pipeline;
mod service;
mod value_source;

pub use {
    customer::{RawCustomer, RawOverride},
    group::RawGroup,
    pipeline::{RawPipeline, RawStage},
    service::{RawEndpoint, RawService},
    value_source::ValueSource,
};

use {
    crate::{
        settings::document::{Field, Located, ObjectReader, scalar_text},
        shared::{
            findings::{Findings, Location},
            ids::{DataCentreId, PipelineId},
        },
    },
    std::{fmt::Display, str::FromStr},
    value_source::IncludeStack,
};

/// A complete tree, parsed but not resolved.
#[derive(Debug, Clone)]
pub struct RawTree {
    /// Version of the tree. Daemons adopt higher versions only.
    pub version: u64,
    /// Data centres that hosts of endpoints may be in.
    pub data_centres: Vec<Located<DataCentreId>>,
    /// The root group.
    pub root: RawGroup,
    /// All errors found while reading.
    pub findings: Findings,
}

impl RawTree {
    /// Reads a tree from its root value `name` and all values that it includes.
    ///
    /// # Errors
    ///
    /// Returns findings if the root value can't be read or parsed. All other findings are kept in the tree, and
    /// reported when it is checked.
    pub fn read(source: &impl ValueSource, name: &str) -> Result<Self, Findings> {
        let mut includes = IncludeStack::new(source);
        let value = includes.open(name)?;
        let mut findings = Findings::default();
        let mut root = ObjectReader::new(name, value, &mut findings);
        let version = root.take_required::<u64>("version");
        // The tree's name is the first part of every path, so the rules for names of nodes apply to it.
        let tree_name = root.take_required::<PipelineId>("name");
        let data_centres = read_data_centres(&mut root);
        let path = tree_name.map_or_else(|| name.to_owned(), |name| name.value.to_string());
        let root = RawGroup::read(&mut includes, path, root);
        Ok(Self {
            // A missing version is reported, so a tree with this 0 is never adopted.
            version: version.map_or(0, |version| version.value),
            data_centres,
            root,
            findings,
        })
    }
}

fn read_data_centres(root: &mut ObjectReader<'_>) -> Vec<Located<DataCentreId>> {
    let elements = root.take_list("data_centres");
    let names = elements.into_iter().filter_map(|element| {
        // A value that isn't a scalar counts as an empty name, which is reported.
        let text = scalar_text(&element).unwrap_or_default();
        parse_name(&text, &element.location, "data_centres", root.findings())
    });
    names.collect()
}

/// Parses a name; reports an invalid one for `node`.
fn parse_name<T: FromStr<Err: Display>>(
    text: &str,
    location: &Location,
    node: &str,
    findings: &mut Findings,
) -> Option<Located<T>> {
    let location = location.clone();
    match text.parse() {
        Ok(value) => Some(Located { value, location }),
        Err(error) => {
            findings.add(&location, node, error.to_string(), "rename it");
            None
        }
    }
}

/// Reads each field as a node. Fields that can't be read are omitted; `read` reports them.
fn read_all<T>(fields: Vec<Field>, read: impl FnMut(Field) -> Option<T>) -> Vec<T> {
    fields.into_iter().filter_map(read).collect()
}
