//! May an endpoint get this request or piece now, and if not, why?
//!
//! Inputs: what the directory and operators say of the endpoint (leaving, evacuated), what it said itself (it leaves, it
//! answered as another one, it wants rest), where it stands and where the request may run, and how much of what it bears
//! this daemon has used (connections, its share of a cold endpoint, its permits for one that names a rate).
//!
//! Rule: one reason against it is enough; the one that lasts longest is named. Health isn't among them:
//! an endpoint that failed gets nothing as long as another one is available, which is a matter of
//! [`endpoint_choice`](crate::gateway::rules::endpoint_choice).
//!
//! Reason: whole requests, retries, resumed streams, pieces and admission all ask this one rule, so that
//! an order of an operator holds for all of them from the same moment.
//!
//! It has no constants. Tests: `lib/tests/test_eligibility.rs`.

use {
    crate::shared::ids::DataCentreId,
    std::{collections::BTreeSet, fmt, sync::Arc},
};

/// The data centres where a request may run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Places {
    /// Any.
    #[default]
    Anywhere,
    /// These.
    Only(Arc<BTreeSet<DataCentreId>>),
}

impl Places {
    /// Returns whether a request may run in a data centre.
    pub fn allow(&self, data_centre: &DataCentreId) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Only(places) => places.contains(data_centre),
        }
    }

    /// Returns whether there is no data centre where a request may run.
    pub fn is_nowhere(&self) -> bool {
        matches!(self, Self::Only(places) if places.is_empty())
    }

    /// Returns the data centres by name; nothing where a request may run anywhere.
    pub fn names(&self) -> Vec<DataCentreId> {
        match self {
            Self::Anywhere => Vec::new(),
            Self::Only(places) => places.iter().cloned().collect(),
        }
    }

    /// Returns the places of some data centres by name; any if there is none, as [`names`](Self::names) writes
    /// it.
    pub fn of_names(names: Vec<DataCentreId>) -> Self {
        if names.is_empty() {
            return Self::Anywhere;
        }
        Self::Only(Arc::new(names.into_iter().collect()))
    }
}

/// Reason for which an endpoint gets nothing new.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Exclusion {
    /// It announced that it is leaving, in its entry or in a reply.
    Draining,
    /// Its data centre is evacuated.
    Evacuated,
    /// The request may not run in its data centre.
    Away,
    /// It answered as another endpoint, or as leaving.
    Replaced,
    /// It turned a request away, and wants nothing from this daemon for a while.
    Resting,
    /// It is cold, and this daemon has sent it its share.
    Cold,
    /// It names the rate that it takes, and this daemon has no permit to send it one more.
    Limited,
    /// This daemon has as many requests in flight there as it may.
    Full,
}

impl Exclusion {
    /// All reasons, in the order in which they are named.
    pub const ALL: [Self; 8] = [
        Self::Draining,
        Self::Evacuated,
        Self::Away,
        Self::Replaced,
        Self::Resting,
        Self::Cold,
        Self::Limited,
        Self::Full,
    ];

    /// Returns the stable text for logs and problem details.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::Evacuated => "evacuated",
            Self::Away => "away",
            Self::Replaced => "replaced",
            Self::Resting => "resting",
            Self::Cold => "cold",
            Self::Limited => "limited",
            Self::Full => "full",
        }
    }
}

/// What speaks against an endpoint whatever the request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Standing {
    /// It announced that it is leaving, in its entry or in a reply.
    pub draining: bool,
    /// Its data centre is evacuated.
    pub evacuated: bool,
    /// It answered as another endpoint, or as leaving.
    pub replaced: bool,
    /// It turned a request away, and wants nothing from this daemon for a while.
    pub resting: bool,
}

impl Standing {
    /// Returns why the endpoint gets nothing new at all, if there is a reason.
    pub fn exclusion(self) -> Option<Exclusion> {
        let reasons = [
            (self.draining, Exclusion::Draining),
            (self.evacuated, Exclusion::Evacuated),
            (self.replaced, Exclusion::Replaced),
            (self.resting, Exclusion::Resting),
        ];
        first(&reasons)
    }
}

/// What speaks against an endpoint for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestStanding {
    /// What speaks against it in any case.
    pub standing: Standing,
    /// The request may not run where it stands.
    pub away: bool,
    /// It is cold, and this daemon has sent it its share.
    pub cold: bool,
    /// It names the rate that it takes, and this daemon has no permit to send it one more.
    pub limited: bool,
    /// This daemon has as many requests in flight there as it may.
    pub full: bool,
}

impl RequestStanding {
    /// Returns why the endpoint doesn't get the request, if there is a reason.
    pub fn exclusion(self) -> Option<Exclusion> {
        let reasons = [
            (self.away, Exclusion::Away),
            (self.cold, Exclusion::Cold),
            (self.limited, Exclusion::Limited),
            (self.full, Exclusion::Full),
        ];
        self.standing.exclusion().or_else(|| first(&reasons))
    }
}

fn first(reasons: &[(bool, Exclusion)]) -> Option<Exclusion> {
    let mut holding = reasons.iter().filter(|(holds, _)| *holds);
    holding.next().map(|(_, reason)| *reason)
}

/// How many endpoints of a service were left out, by the reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeftOut([usize; Exclusion::ALL.len()]);

impl LeftOut {
    /// Counts an endpoint.
    pub fn count(&mut self, reason: Exclusion) {
        self.0[reason as usize] += 1;
    }

    /// Returns the endpoints left out for a reason.
    pub fn of(&self, reason: Exclusion) -> usize {
        self.0[reason as usize]
    }
}

/// Writes `none`, or the counts above 0 with commas between them, such as `draining=1,evacuated=9`.
impl fmt::Display for LeftOut {
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
