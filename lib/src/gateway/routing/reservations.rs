//! Reservations for requests of tight routes that admission refuses: claims one for a request that returns, and makes
//! one for a new request.
//!
//! [`rules::reservation`](crate::gateway::rules::reservation) decides about waits and claims, and
//! `peers::reservation_reports` sends the messages to other daemons.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            peers::{request_reports::send_now, reservation_reports::ReservationReports},
            request_digest::RequestDigest,
            reservations::{
                made::{NewReservation, ReservedPieces},
                note::Verdict,
                store::ClaimStart,
            },
            routing::{
                call::ForwardedCall,
                region_choice::chain_request_in,
                stage_load::{admit, stage_throughput},
            },
            rules::{
                admission::AdmissionDecision,
                allowed_regions::RegionHash,
                calibration::CorrectionFactor,
                reservation::{CLAIM_WAIT, RefusedRequest, ReservedTime, holders, lead},
            },
            stages::chain_request::ChainRequest,
            state::{Gateway, GatewayState},
            table::Route,
        },
        shared::{
            problem::{Code, Problem},
            units::{Millis, Time, WorkMillis},
        },
    },
    std::net::SocketAddr,
};

/// An admitted request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Admission {
    /// Region where its stages run; absent for this daemon's own region.
    pub(crate) region: Option<RegionHash>,
    /// Time by which its pieces go ahead of those of new requests; absent if it had no reservation.
    pub(crate) lead: Option<Millis>,
}

/// A refusal by admission.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Refusal {
    /// Time that the request would take, before correction.
    pub(crate) expected: WorkMillis,
    /// Time that it is allowed, before correction.
    pub(crate) allowed: WorkMillis,
    /// Factor by which the expected time is corrected.
    pub(crate) factor: CorrectionFactor,
    /// Wait of a caller without a reservation.
    pub(crate) retry_after: Millis,
}

impl Refusal {
    /// Returns the detail of the problem.
    fn detail(&self, route: &Route) -> String {
        let (expected, objective) = (self.expected.0 * self.factor.0, route.objective);
        format!("it would take about {expected:.0} ms, its objective is {objective}")
    }

    /// Returns the problem of a request of a route that isn't tight.
    pub(crate) fn problem(&self, route: &Route) -> Problem {
        Problem::not_run(Code::NoTime, self.detail(route)).retry_after(self.retry_after)
    }

    /// Returns the problem of a request that returned before its reservation, or that has got one.
    fn reserved_problem(&self, route: &Route, wait: Millis) -> Problem {
        let detail = format!("{}; it will be served in {wait}", self.detail(route));
        Problem::not_run(Code::NoTime, detail).retry_after(wait)
    }

    /// Returns the problem of a request that gets no reservation.
    fn unserved_problem(&self, route: &Route, wait: Millis) -> Problem {
        let detail = format!("{}; it can't be served in its time", self.detail(route));
        Problem::not_run(Code::NoTime, detail).retry_after(wait)
    }
}

impl GatewayState {
    /// Returns the daemons that hold the reservation of a request.
    fn reservation_holders(&self, digest: &RequestDigest) -> Vec<SocketAddr> {
        holders(digest.as_bytes(), self.peers.living_in_region())
    }
}

/// A claim that waits for answers. Dropping it ends the claim, also if the caller has left.
struct WaitingClaim<'a, D> {
    gateway: &'a Gateway<D>,
    digest: RequestDigest,
}

impl<D> WaitingClaim<'_, D> {
    fn end(&self) -> Verdict {
        let mut state = self.gateway.state.borrow_mut();
        state.reservations.end_claim(&self.digest)
    }
}

impl<D> Drop for WaitingClaim<'_, D> {
    fn drop(&mut self) {
        self.end();
    }
}

impl<D: Dialect> Gateway<D> {
    /// Admits a request that admission refuses if it has a reservation that is due, and otherwise makes one if it can
    /// be served in its time. Returns the time by which its pieces go ahead of those of new requests.
    ///
    /// # Errors
    ///
    /// Returns the problem with the time after which to retry.
    pub(crate) async fn claim_or_reserve(
        &self,
        call: &ForwardedCall,
        refusal: Refusal,
    ) -> Result<Millis, Problem> {
        let route = &call.route;
        let refused = RefusedRequest {
            expected: refusal.expected,
            allowed: refusal.allowed,
            left: call.remaining(self.now()),
            reserved: reserved_time(self, &chain_request_in(self, call, None)),
        };
        let wait = match self.claim(call.digest).await {
            Some(Verdict::Granted { waited, .. }) => return Ok(self.keep(call, waited)),
            Some(Verdict::Early { left }) => {
                self.metrics.reservations.count_early();
                return Err(refusal.reserved_problem(route, left));
            }
            Some(Verdict::Unknown) => self.reserve(call, &refused),
            Some(Verdict::Spent) | None => None,
        };
        Err(match wait {
            Some(wait) => refusal.reserved_problem(route, wait),
            None => refusal.unserved_problem(route, refused.unserved_wait(refusal.retry_after)),
        })
    }

    /// Claims the reservation of a request. Returns `None` if the same request is being claimed already.
    async fn claim(&self, digest: RequestDigest) -> Option<Verdict> {
        let now = self.now();
        match self.begin_claim(now, digest) {
            ClaimStart::Decided(verdict) => return Some(verdict),
            ClaimStart::Duplicate => return None,
            ClaimStart::Asked => {}
        }
        let claim = WaitingClaim {
            gateway: self,
            digest,
        };
        let answers = &self.reservation_answers;
        self.wait_for_peers(answers, now + CLAIM_WAIT, |state| {
            state.reservations.is_decided(&digest)
        })
        .await;
        Some(claim.end())
    }

    fn begin_claim(&self, now: Time, digest: RequestDigest) -> ClaimStart {
        let mut guard = self.state.borrow_mut();
        let holders = guard.reservation_holders(&digest);
        let GatewayState {
            reservations,
            workload,
            ..
        } = &mut *guard;
        let start = reservations.begin_claim(now, digest, &holders, workload);
        drop(guard);
        self.reservation_reports.notify_one();
        start
    }

    /// Records that a request is admitted by its reservation.
    fn keep(&self, call: &ForwardedCall, waited: Millis) -> Millis {
        self.metrics.reservations.count_kept();
        log::info!(
            request = call.id(),
            digest:% = call.digest,
            wait_ms = waited.0;
            "reservation.kept"
        );
        let request = chain_request_in(self, call, None);
        lead(waited, call.route.objective, slack(&request, self.now()))
    }

    /// Makes a reservation, and returns the time until it is due; `None` if the request can't be served in its time, or
    /// if its customer has as many reservations as it may.
    fn reserve(&self, call: &ForwardedCall, refused: &RefusedRequest) -> Option<Millis> {
        let request = chain_request_in(self, call, None);
        let wait = refused.wait(call.digest.as_bytes(), |wait| {
            expected_after(self, &request, wait)
        })?;
        let now = self.now();
        let reservation = NewReservation {
            digest: call.digest,
            request: request.id.clone(),
            customer: call.customer.as_ref().map(|customer| customer.id.clone()),
            time: ReservedTime {
                made: now,
                due: now + wait,
            },
            work: reserved_pieces(&request, now, wait),
        };
        let mut guard = self.state.borrow_mut();
        let holders = guard.reservation_holders(&call.digest);
        let GatewayState {
            reservations,
            workload,
            ..
        } = &mut *guard;
        let is_made = reservations.reserve(now, reservation, &holders, workload);
        drop(guard);
        if !is_made {
            return None;
        }
        // The caller may come to another daemon as soon as it has its refusal, and the holders are asked then.
        send_now::<ReservationReports, D>(self);
        self.reservation_reports.notify_one();
        log::info!(
            request = call.id(),
            digest:% = call.digest,
            wait_ms = wait.0;
            "reservation.made"
        );
        Some(wait)
    }

    /// Ends the reservation of a request that is admitted without it. Without refused callers lately, nothing is sent.
    pub(crate) fn end_reservation(&self, digest: RequestDigest) {
        let now = self.now();
        let mut guard = self.state.borrow_mut();
        if guard.reservations.is_idle() {
            return;
        }
        let holders = guard.reservation_holders(&digest);
        let GatewayState {
            reservations,
            workload,
            ..
        } = &mut *guard;
        let is_known = reservations.end_admitted(now, digest, &holders, workload);
        drop(guard);
        self.reservation_reports.notify_one();
        if is_known {
            self.metrics.reservations.count_kept();
        }
    }
}

/// Returns the time that a request would take if it came after a wait and the pieces that are outstanding now were
/// still outstanding.
fn expected_after<D: Dialect>(
    gateway: &Gateway<D>,
    request: &ChainRequest,
    wait: Millis,
) -> WorkMillis {
    let later = ChainRequest {
        objective: request.objective + wait,
        ..request.clone()
    };
    match admit(gateway, &later) {
        AdmissionDecision::Admit { expected } | AdmissionDecision::Refuse { expected, .. } => {
            expected
        }
    }
}

/// Returns the time that the stages of a request need for the waiting reservations and for the request. All daemons are
/// taken to have made as many reservations as this one, since callers choose a daemon at random.
fn reserved_time<D: Dialect>(gateway: &Gateway<D>, request: &ChainRequest) -> WorkMillis {
    let stages = request.route.stages.iter().enumerate();
    let times = stages.map(|(index, stage)| {
        let state = gateway.state.borrow();
        let waiting = state.reservations.pieces(&stage.service);
        let daemons = state.peers.living_in_region().count();
        drop(state);
        let pieces = f64::from(waiting) * daemons as f64 + f64::from(request.count(index));
        pieces / stage_throughput(gateway, request, index)
    });
    WorkMillis(times.fold(0.0, f64::max))
}

/// Returns the pieces of a request in the order that they will have after a wait, if it is granted then.
fn reserved_pieces(request: &ChainRequest, now: Time, wait: Millis) -> Vec<ReservedPieces> {
    let lead = lead(wait, request.route.objective, slack(request, now));
    let later = ChainRequest {
        objective: request.objective + wait - lead,
        ..request.clone()
    };
    let stages = request.route.stages.iter().enumerate();
    let pieces = stages.map(|(index, stage)| ReservedPieces {
        service: stage.service.clone(),
        rank: later.piece_rank(index),
        pieces: later.count(index),
    });
    pieces.filter(|stage| stage.pieces > 0).collect()
}

/// Returns the time until the first stage of a request should end.
fn slack(request: &ChainRequest, now: Time) -> Millis {
    let stages = 0..request.route.stages.len();
    let needed = stages.filter(|index| request.count(*index) > 0);
    let first = needed
        .map(|index| request.piece_rank(index).objective)
        .min();
    let left = first.map(|first| first.since(now));
    Millis(left.unwrap_or_default().as_millis() as u64)
}
