//! Decides whether an endpoint may get a request or piece now, and returns the reason if not.
//!
//! Inputs: what the directory and operators say about the endpoint (draining, evacuated), what its replies said (it is
//! leaving, another endpoint has its address, it asked for a cooldown), its data centre and the data centres where the
//! request may run, the origin of the stream that it continues, and how much of the endpoint's limits this daemon has used (connections, its share of a cold
//! endpoint, its permits for an endpoint that advertises a rate limit).
//!
//! Rule: one reason is enough to exclude the endpoint; if several hold, the one that lasts longest is returned. Health
//! is not a reason: an endpoint that failed gets nothing while another one is available, which is decided by
//! [`endpoint_choice`](crate::gateway::rules::endpoint_choice).
//!
//! Reason: whole requests, retries, resumed streams, pieces and admission all use this one rule, so an operator's order
//! takes effect for all of them at the same moment.
//!
//! Tests: `lib/tests/test_eligibility.rs`.

use {
    crate::shared::ids::DataCentreId,
    std::{collections::BTreeSet, fmt, sync::Arc},
};

/// The data centres where a request may run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum AllowedDataCentres {
    /// All data centres.
    #[default]
    Anywhere,
    /// Only these data centres; the set may be empty.
    Only(Arc<BTreeSet<DataCentreId>>),
}

impl AllowedDataCentres {
    /// Returns whether the request may run in a data centre.
    pub fn allow(&self, data_centre: &DataCentreId) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Only(data_centres) => data_centres.contains(data_centre),
        }
    }

    /// Returns whether there is no data centre where the request may run.
    pub fn is_nowhere(&self) -> bool {
        matches!(self, Self::Only(data_centres) if data_centres.is_empty())
    }

    /// Returns the names of the data centres; empty if the request may run anywhere.
    pub fn names(&self) -> Vec<DataCentreId> {
        match self {
            Self::Anywhere => Vec::new(),
            Self::Only(data_centres) => data_centres.iter().cloned().collect(),
        }
    }

    /// Returns the inverse of [`names`](Self::names): only the named data centres, or all data centres if `names` is
    /// empty.
    pub fn of_names(names: Vec<DataCentreId>) -> Self {
        if names.is_empty() {
            return Self::Anywhere;
        }
        Self::Only(Arc::new(names.into_iter().collect()))
    }
}

/// Reason for which an endpoint gets nothing new. The order of the variants is the order in which they are reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Exclusion {
    /// The endpoint announced in its entry or in a reply that it is leaving.
    Draining,
    /// Its data centre is being evacuated.
    Evacuated,
    /// The request may not run in its data centre.
    NotAllowed,
    /// The request continues a stream that began at another version of the service's software.
    OtherVersion,
    /// Another endpoint replied at its address, or it replied that it is leaving.
    Replaced,
    /// It refused a request and asked this daemon to send nothing for a time.
    CoolingDown,
    /// It is cold, and this daemon has used its share of the requests to it.
    Cold,
    /// It advertises a rate limit, and this daemon has no permit for another request.
    Limited,
    /// It is brittle, and its slots are taken, or this daemon's share of them.
    Brittle,
    /// This daemon already has the maximum number of requests in flight there.
    Full,
}

impl Exclusion {
    /// All reasons, in the order in which they are reported.
    pub const ALL: [Self; 10] = [
        Self::Draining,
        Self::Evacuated,
        Self::NotAllowed,
        Self::OtherVersion,
        Self::Replaced,
        Self::CoolingDown,
        Self::Cold,
        Self::Limited,
        Self::Brittle,
        Self::Full,
    ];

    /// Returns the stable text for logs and problem details.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::Evacuated => "evacuated",
            Self::NotAllowed => "away",
            Self::OtherVersion => "version",
            Self::Replaced => "replaced",
            Self::CoolingDown => "resting",
            Self::Cold => "cold",
            Self::Limited => "limited",
            Self::Brittle => "brittle",
            Self::Full => "full",
        }
    }
}

/// The reasons against an endpoint that hold for every request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointRestrictions {
    /// Set if the endpoint announced in its entry or in a reply that it is leaving.
    pub draining: bool,
    /// Set if its data centre is being evacuated.
    pub evacuated: bool,
    /// Set if another endpoint replied at its address, or it replied that it is leaving.
    pub replaced: bool,
    /// Set if it refused a request and asked this daemon to send nothing for a time.
    pub cooling_down: bool,
}

impl EndpointRestrictions {
    /// Returns the reason for which the endpoint gets nothing new at all, if there is one.
    pub fn exclusion(self) -> Option<Exclusion> {
        let reasons = [
            (self.draining, Exclusion::Draining),
            (self.evacuated, Exclusion::Evacuated),
            (self.replaced, Exclusion::Replaced),
            (self.cooling_down, Exclusion::CoolingDown),
        ];
        first_holding(&reasons)
    }
}

/// The reasons against an endpoint for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestRestrictions {
    /// Reasons that hold for every request.
    pub restrictions: EndpointRestrictions,
    /// Set if the request may not run in the endpoint's data centre.
    pub not_allowed: bool,
    /// Set if the request continues a stream that began at another software version.
    pub other_version: bool,
    /// Set if the endpoint is cold and this daemon has used its share of the requests to it.
    pub cold: bool,
    /// Set if the endpoint advertises a rate limit and this daemon has no permit for another request.
    pub limited: bool,
    /// Set if the endpoint is brittle, and its slots are taken, or this daemon's share of them.
    pub brittle: bool,
    /// Set if this daemon already has the maximum number of requests in flight there.
    pub full: bool,
}

impl RequestRestrictions {
    /// Returns the reason for which the endpoint doesn't get the request, if there is one.
    pub fn exclusion(self) -> Option<Exclusion> {
        let reasons = [
            (self.not_allowed, Exclusion::NotAllowed),
            (self.other_version, Exclusion::OtherVersion),
            (self.cold, Exclusion::Cold),
            (self.limited, Exclusion::Limited),
            (self.brittle, Exclusion::Brittle),
            (self.full, Exclusion::Full),
        ];
        self.restrictions
            .exclusion()
            .or_else(|| first_holding(&reasons))
    }
}

/// Returns the first reason that holds.
fn first_holding(reasons: &[(bool, Exclusion)]) -> Option<Exclusion> {
    let mut holding = reasons.iter().filter(|(holds, _)| *holds);
    holding.next().map(|(_, reason)| *reason)
}

/// The number of excluded endpoints of a service, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ExclusionCounts([usize; Exclusion::ALL.len()]);

impl ExclusionCounts {
    /// Counts an excluded endpoint.
    pub fn count(&mut self, reason: Exclusion) {
        self.0[reason as usize] += 1;
    }

    /// Returns the number of endpoints of which this daemon uses all that it may.
    pub fn used_up(&self) -> usize {
        self.of(Exclusion::Brittle) + self.of(Exclusion::Full)
    }

    /// Returns the number of endpoints that were excluded for a reason.
    pub fn of(&self, reason: Exclusion) -> usize {
        self.0[reason as usize]
    }
}

/// Writes the counts above 0, separated by commas, such as `draining=1,evacuated=9`; `none` if all are 0.
impl fmt::Display for ExclusionCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut comma = "";
        for reason in Exclusion::ALL {
            let count = self.of(reason);
            if count > 0 {
                write!(f, "{comma}{}={count}", reason.as_str())?;
                comma = ",";
            }
        }
        if comma.is_empty() {
            f.write_str("none")?;
        }
        Ok(())
    }
}
