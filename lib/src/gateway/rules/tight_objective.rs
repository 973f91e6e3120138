//! Decides which routes and services have objectives so short that the engines' real times have to be known.
//!
//! Inputs: the routes of the table in force, with their kinds, objectives (milliseconds), backends and stages.
//!
//! Rule: a service is tight if a streamed route to it has stages and an objective below [`TIGHT_OBJECTIVE`]. All routes
//! to a tight service are tight, and so are the services of their stages.
//!
//! Reason: routes that aren't tight are admitted by an assumed time of the engine that counts as at most 200 ms
//! ([`admission`](crate::gateway::rules::admission)). From an objective of 800 ms on, the error is at most a quarter of the
//! objective; below, it decides who is refused. The rest of the routes of a tight service compete for the same
//! endpoints, so the same estimates have to apply to them.
//!
//! Tests: `lib/tests/test_tight_objective.rs`.

use {
    crate::{
        gateway::table::Route,
        shared::{ids::ServiceId, units::Millis},
    },
    std::{collections::BTreeSet, sync::Arc},
};

/// Objective from which on a route isn't tight: four times the bound on the assumed time of an engine. With 1 s, a
/// deployment whose shortest objective is 920 ms lost value: 0.581 in place of 0.618 as a mean of five days.
pub const TIGHT_OBJECTIVE: Millis = Millis(800);

/// The tight services of a table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TightServices {
    /// Services that serve requests of tight routes.
    engines: BTreeSet<ServiceId>,
    /// Services that run stages of tight routes.
    stages: BTreeSet<ServiceId>,
}

impl TightServices {
    /// Finds the tight services among those of all routes of a table.
    pub fn new<'a>(routes: impl Iterator<Item = &'a Arc<Route>> + Clone) -> Self {
        let engines = routes
            .clone()
            .filter(|route| is_tight(route))
            .flat_map(|route| backends(route).cloned())
            .collect();
        let mut tight = Self {
            engines,
            stages: BTreeSet::new(),
        };
        let stages = routes
            .filter(|route| tight.has_route(route))
            .flat_map(|route| route.stages.iter().map(|stage| stage.service.clone()))
            .collect();
        tight.stages = stages;
        tight
    }

    /// Returns whether a route is tight: one of its services is.
    pub fn has_route(&self, route: &Route) -> bool {
        backends(route).any(|service| self.engines.contains(service))
    }

    /// Returns the services that serve requests of tight routes.
    pub fn engines(&self) -> impl Iterator<Item = &ServiceId> {
        self.engines.iter()
    }

    /// Returns whether a service serves requests of tight routes.
    pub fn has_engine(&self, service: &ServiceId) -> bool {
        self.engines.contains(service)
    }

    /// Returns whether a service runs stages of tight routes.
    pub fn has_stage(&self, service: &ServiceId) -> bool {
        self.stages.contains(service)
    }
}

fn is_tight(route: &Route) -> bool {
    route.kind.is_stream() && !route.stages.is_empty() && route.objective < TIGHT_OBJECTIVE
}

fn backends(route: &Route) -> impl Iterator<Item = &ServiceId> {
    route.backends.iter().map(|backend| &backend.service)
}
