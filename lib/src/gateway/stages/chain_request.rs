//! A request as its stages need to know it.
//!
//! Values only, read once from the request; `chain` runs the stages with them.

use {
    crate::{
        gateway::{
            dialect::Inbound,
            request_digest::RequestDigest,
            rules::{
                admission, allowed_regions::RegionHash, eligibility::AllowedDataCentres,
                stage_objective::stage_objective,
            },
            stages::{
                job::{PieceInput, StageJob, piece_count},
                workload::PieceRank,
            },
            table::Route,
        },
        shared::{
            ids::DataCentreId,
            units::{ByteSize, Millis, Time},
        },
    },
    std::sync::Arc,
};

/// A request whose stages are to run.
#[derive(Debug, Clone)]
pub struct ChainRequest {
    /// The request's id.
    pub id: Arc<str>,
    /// The same for the same request sent again.
    pub digest: Option<RequestDigest>,
    /// Its route.
    pub route: Arc<Route>,
    /// Pieces of each stage.
    pub pieces: Vec<u32>,
    /// Input of the first stages.
    pub key: Arc<str>,
    /// When its stages have to be done.
    pub deadline: Time,
    /// When its answer should come to be worth most.
    pub objective: Time,
    /// Its rank; 0 goes first.
    pub rank: u32,
    /// Tokens of its prompt.
    pub tokens: u32,
    /// Time that the request itself needs after its stages.
    pub request_time: Millis,
    /// Data centre of the endpoint that will probably serve it.
    pub home: Option<DataCentreId>,
    /// Data centres where it and its stages may run.
    pub places: AllowedDataCentres,
    /// Region whose coordinators run its stages; nothing for that of its daemon.
    pub region: Option<RegionHash>,
}

impl ChainRequest {
    /// Reads what the stages need from a request.
    pub fn new(
        inbound: &Inbound,
        route: &Arc<Route>,
        deadline: Time,
        objective: Time,
        rank: u32,
    ) -> Self {
        Self {
            id: inbound.id.clone(),
            digest: None,
            route: route.clone(),
            pieces: inbound.pieces.clone(),
            // Endpoints are given an empty key where the caller gave none.
            key: inbound.piece_key.as_deref().unwrap_or_default().into(),
            deadline,
            objective,
            rank,
            tokens: inbound.prompt.tokens_in,
            request_time: Millis(admission::request_time(inbound.prompt.tokens_in).0 as u64),
            home: None,
            places: AllowedDataCentres::Anywhere,
            region: None,
        }
    }

    /// Sets what tells that another request is the same one.
    #[must_use]
    pub fn identified(mut self, digest: RequestDigest) -> Self {
        self.digest = Some(digest);
        self
    }

    /// Sets where the request and its stages may run.
    #[must_use]
    pub fn within(mut self, places: AllowedDataCentres) -> Self {
        self.places = places;
        self
    }

    /// Sets the region whose coordinators run its stages.
    #[must_use]
    pub fn coordinated_in(mut self, region: Option<RegionHash>) -> Self {
        self.region = region;
        self
    }

    /// Sets where the request will probably be served.
    #[must_use]
    pub fn near(mut self, home: Option<DataCentreId>) -> Self {
        self.home = home;
        self
    }

    /// Returns the number of pieces of a stage.
    pub fn count(&self, stage: usize) -> u32 {
        piece_count(&self.pieces, stage)
    }

    /// Returns what the place of a stage's pieces in the order depends on.
    pub fn piece_rank(&self, stage: usize) -> PieceRank {
        let later = self.later_stages(stage);
        PieceRank {
            objective: stage_objective(self.objective, later, self.request_time),
            rank: self.rank,
        }
    }

    /// Returns the job of a stage whose pieces should run in the data centre `home`.
    pub(super) fn job(
        &self,
        stage: usize,
        input: PieceInput,
        home: Option<DataCentreId>,
    ) -> StageJob {
        let PieceRank { objective, rank } = self.piece_rank(stage);
        StageJob {
            request: self.id.clone(),
            digest: self.digest,
            stage: stage as u32,
            pieces: self.count(stage),
            input,
            deadline: self.deadline,
            objective,
            rank,
            result: self.route.stages[stage].result,
            home,
            places: self.places.clone(),
            moved: self.moved(stage),
        }
    }

    /// Returns the bytes that cross between data centres if one piece of a stage runs elsewhere: its
    /// inputs, and its result once for each piece that uses it, or once for the request itself.
    fn moved(&self, stage: usize) -> ByteSize {
        let stages = &self.route.stages;
        let inputs: u64 = stages[stage]
            .after
            .iter()
            .map(|before| u64::from(self.count(*before)) * stages[*before].result.0)
            .sum();
        let users: u64 = self
            .users(stage)
            .map(|later| u64::from(self.count(later)))
            .sum();
        ByteSize(inputs + stages[stage].result.0 * users.max(1))
    }

    /// Returns the number of stages that come after a stage, along the longest way.
    fn later_stages(&self, stage: usize) -> u64 {
        let ways = self.users(stage).map(|later| 1 + self.later_stages(later));
        // Nothing comes after a last stage.
        ways.max().unwrap_or(0)
    }

    /// Returns the stages that use the results of a stage; a checked table has them after it.
    fn users(&self, stage: usize) -> impl Iterator<Item = usize> {
        let stages = &self.route.stages;
        (stage + 1..stages.len()).filter(move |later| stages[*later].after.contains(&stage))
    }
}
