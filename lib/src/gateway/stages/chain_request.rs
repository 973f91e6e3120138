//! The values of a request that its stages need.
//!
//! The values are read once from the request; `chain` runs the stages with them.

use {
    crate::{
        gateway::{
            dialect::Inbound,
            request_digest::RequestDigest,
            rules::{
                admission,
                allowed_regions::RegionHash,
                eligibility::AllowedDataCentres,
                stage_objective::{stage_deadline, stage_objective},
            },
            stages::{
                job::{CustomerHash, PieceInput, StageJob, piece_count},
                workload::PieceRank,
            },
            table::Route,
        },
        shared::{
            ids::DataCentreId,
            units::{ByteSize, Millis, Time, WorkMillis},
        },
    },
    std::sync::Arc,
};

/// A request whose stages are to run.
#[derive(Debug, Clone)]
pub struct ChainRequest {
    /// Id of the request.
    pub id: Arc<str>,
    /// Digest, which is the same when the caller sends the same request again; `None` if it wasn't computed.
    pub digest: Option<RequestDigest>,
    /// Route of the request.
    pub route: Arc<Route>,
    /// Number of pieces of each stage, in the order of the route's stages.
    pub pieces: Vec<u32>,
    /// Input of the stages that depend on no other stage.
    pub key: Arc<str>,
    /// Time by which all stages have to be complete.
    pub deadline: Time,
    /// Time by which the request should be answered to count as in time.
    pub objective: Time,
    /// Time from its arrival to its objective.
    pub time_allowed: Millis,
    /// Rank among waiting requests; 0 is the most urgent.
    pub rank: u32,
    /// Length of the prompt in tokens.
    pub tokens: u32,
    /// Expected time from sending the request to its first event; `None` if its service isn't tight.
    pub own_time: Option<WorkMillis>,
    /// Time that the request itself takes after its stages.
    pub request_time: Millis,
    /// Customer of a request of a tight route; `None` for other routes.
    pub customer: Option<CustomerHash>,
    /// Fixed time of a call of each stage, for which earlier stages of a tight route leave room; `None` for other
    /// routes.
    pub calls: Option<Vec<WorkMillis>>,
    /// Data centre of the endpoint that will probably serve the request; `None` if unknown.
    pub serving_centre: Option<DataCentreId>,
    /// Data centres in which the request and its stages may run.
    pub allowed: AllowedDataCentres,
    /// Region whose coordinators run the stages; `None` stands for the region of this daemon.
    pub region: Option<RegionHash>,
}

impl ChainRequest {
    /// Allows the request another time than the objective of its route.
    #[must_use]
    pub fn admitted_within(self, time_allowed: Millis) -> Self {
        Self {
            time_allowed,
            ..self
        }
    }

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
            // Endpoints get an empty key if the caller sent none.
            key: inbound.piece_key.as_deref().unwrap_or_default().into(),
            deadline,
            objective,
            time_allowed: route.objective,
            rank,
            tokens: inbound.prompt.tokens_in,
            own_time: None,
            request_time: Millis(admission::request_time(inbound.prompt.tokens_in).0 as u64),
            customer: None,
            calls: None,
            serving_centre: None,
            allowed: AllowedDataCentres::Anywhere,
            region: None,
        }
    }

    /// Sets the digest by which daemons recognize the request when it is sent again.
    #[must_use]
    pub fn identified(mut self, digest: RequestDigest) -> Self {
        self.digest = Some(digest);
        self
    }

    /// Sets the customer, by which capacity is shared within a rank.
    #[must_use]
    pub fn for_customer(mut self, customer: CustomerHash) -> Self {
        self.customer = Some(customer);
        self
    }

    /// Sets the fixed time of a call of each stage. The jobs of earlier stages then end in time for the later ones.
    #[must_use]
    pub fn with_calls(mut self, calls: Vec<WorkMillis>) -> Self {
        self.calls = Some(calls);
        self
    }

    /// Sets the data centres in which the request and its stages may run.
    #[must_use]
    pub fn within(mut self, allowed: AllowedDataCentres) -> Self {
        self.allowed = allowed;
        self
    }

    /// Sets the region whose coordinators run the stages; `None` stands for the region of this daemon.
    #[must_use]
    pub fn coordinated_in(mut self, region: Option<RegionHash>) -> Self {
        self.region = region;
        self
    }

    /// Sets the data centre of the endpoint that will probably serve the request.
    #[must_use]
    pub fn served_in(mut self, data_centre: Option<DataCentreId>) -> Self {
        self.serving_centre = data_centre;
        self
    }

    /// Sets the time that the request itself is expected to take, if its service is tight.
    #[must_use]
    pub fn expected_within(mut self, own_time: Option<WorkMillis>) -> Self {
        if let Some(own_time) = own_time {
            self.own_time = Some(own_time);
            self.request_time = Millis(own_time.0 as u64);
        }
        self
    }

    /// Returns the number of pieces of a stage.
    pub fn count(&self, stage: usize) -> u32 {
        piece_count(&self.pieces, stage)
    }

    /// Returns the values that determine when the pieces of a stage are sent, compared to other pieces.
    pub fn piece_rank(&self, stage: usize) -> PieceRank {
        let later = self.later_stages(stage);
        PieceRank {
            objective: stage_objective(self.objective, later, self.request_time),
            rank: self.rank,
        }
    }

    /// Returns the job of a stage. `preferred` is the data centre in which its pieces should run.
    pub(super) fn job(
        &self,
        stage: usize,
        input: PieceInput,
        preferred: Option<DataCentreId>,
    ) -> StageJob {
        let PieceRank { objective, rank } = self.piece_rank(stage);
        StageJob {
            request: self.id.clone(),
            digest: self.digest,
            stage: stage as u32,
            pieces: self.count(stage),
            input,
            deadline: self.job_deadline(stage),
            objective,
            rank,
            customer: self.customer,
            result: self.route.stages[stage].result,
            preferred,
            allowed: self.allowed.clone(),
            crossing_size: self.crossing_size(stage),
        }
    }

    /// Returns when a stage has to end: by the request's deadline, and in a tight route in time for what follows.
    fn job_deadline(&self, stage: usize) -> Time {
        let Some(calls) = &self.calls else {
            return self.deadline;
        };
        let later = self.later_calls(calls, stage);
        stage_deadline(self.deadline, self.objective, later, self.request_time)
    }

    /// Returns the fixed time of the calls on the longest chain of stages with pieces that depend on this stage.
    fn later_calls(&self, calls: &[WorkMillis], stage: usize) -> WorkMillis {
        let times = self.users(stage).map(|later| {
            let own = match self.count(later) {
                0 => 0.0,
                _ => calls.get(later).map_or(0.0, |call| call.0),
            };
            own + self.later_calls(calls, later).0
        });
        WorkMillis(times.fold(0.0, f64::max))
    }

    /// Returns the bytes that cross between data centres if one piece of a stage runs outside its preferred data
    /// centre: its inputs, and its result once for each piece that uses it, or once for the request itself.
    fn crossing_size(&self, stage: usize) -> ByteSize {
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

    /// Returns the number of stages on the longest chain of stages that depend on this stage.
    fn later_stages(&self, stage: usize) -> u64 {
        let lengths = self.users(stage).map(|later| 1 + self.later_stages(later));
        // No stage depends on a last stage.
        lengths.max().unwrap_or(0)
    }

    /// Returns the stages that use the results of a stage. In a valid table they come later in the list.
    fn users(&self, stage: usize) -> impl Iterator<Item = usize> {
        let stages = &self.route.stages;
        (stage + 1..stages.len()).filter(move |later| stages[*later].after.contains(&stage))
    }
}
