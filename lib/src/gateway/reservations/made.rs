//! The reservations that this daemon made, and the pieces that it counts for them.

use {
    crate::{
        gateway::{
            request_digest::RequestDigest,
            rules::reservation::{ReservedTime, ReturnShare, may_reserve},
            stages::workload::{PieceRank, Workload},
        },
        shared::{
            ids::{CustomerId, ServiceId},
            units::{Millis, Time},
        },
    },
    foldhash::HashMap,
    std::sync::Arc,
};

/// The pieces of one stage of a request with a reservation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReservedPieces {
    /// Service of the stage.
    pub service: ServiceId,
    /// Order that the pieces will have when the reservation is due.
    pub rank: PieceRank,
    /// Number of pieces.
    pub pieces: u32,
}

/// A reservation that this daemon makes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewReservation {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Id of the request that was refused.
    pub request: Arc<str>,
    /// Customer whose key the request carries, if any.
    pub customer: Option<CustomerId>,
    /// When the request was refused and when it is due.
    pub time: ReservedTime,
    /// Pieces of its stages.
    pub work: Vec<ReservedPieces>,
}

/// A reservation that wasn't claimed in time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MissedReservation {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Id of the request that was refused.
    pub request: Arc<str>,
    /// Time from the refusal until the reservation was due.
    pub wait: Millis,
}

/// A reservation that waits for its caller.
#[derive(Debug)]
struct MadeReservation {
    reservation: NewReservation,
    /// Set while the pieces count as outstanding.
    is_counted: bool,
    /// Set once the caller should have returned.
    is_late: bool,
}

impl MadeReservation {
    fn start_counting(&mut self, workload: &mut Workload) {
        if !std::mem::replace(&mut self.is_counted, true) {
            for work in &self.reservation.work {
                workload.add(&work.service, work.rank, work.pieces);
            }
        }
    }

    fn stop_counting(&mut self, workload: &mut Workload) {
        if std::mem::take(&mut self.is_counted) {
            for work in &self.reservation.work {
                workload.subtract(&work.service, work.rank, work.pieces);
            }
        }
    }
}

/// The waiting reservations that this daemon made, by the digests of their requests.
#[derive(Debug, Default)]
pub struct MadeReservations {
    waiting: HashMap<RequestDigest, MadeReservation>,
    returns: ReturnShare,
}

impl MadeReservations {
    /// Returns whether no reservation waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting reservations.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of pieces of a service that belong to waiting reservations.
    pub fn pieces(&self, service: &ServiceId) -> u32 {
        let work = self
            .waiting
            .values()
            .flat_map(|made| &made.reservation.work);
        let pieces = work.filter(|work| work.service == *service);
        pieces.map(|work| work.pieces).sum()
    }

    /// Adds a reservation, if its customer may have one more. Returns whether it was added. It replaces an earlier one
    /// of the same request.
    pub fn add(&mut self, reservation: NewReservation, workload: &mut Workload) -> bool {
        if let Some(mut earlier) = self.waiting.remove(&reservation.digest) {
            earlier.stop_counting(workload);
        }
        let waiting = self.waiting.values().map(|made| &made.reservation);
        let same = waiting.filter(|waiting| waiting.customer == reservation.customer);
        if !may_reserve(self.waiting.len(), same.count()) {
            return false;
        }
        let made = MadeReservation {
            is_counted: false,
            is_late: false,
            reservation,
        };
        self.waiting.insert(made.reservation.digest, made);
        true
    }

    /// Removes the reservation of a caller that returned, and stops counting its pieces. Returns whether there was one.
    pub fn returned(&mut self, digest: &RequestDigest, workload: &mut Workload) -> bool {
        let Some(mut made) = self.waiting.remove(digest) else {
            return false;
        };
        made.stop_counting(workload);
        self.returns.record(true);
        true
    }

    /// Counts the pieces of the reservations that are due about now, of as many as callers return; those of which it is
    /// the longest ago that they were due are left out.
    fn update_counted(&mut self, now: Time, workload: &mut Workload) {
        let waiting = self.waiting.values_mut();
        let mut due: Vec<_> = waiting
            .filter(|made| made.reservation.time.is_counted(now))
            .collect();
        due.sort_by_key(|made| (made.reservation.time.due, made.reservation.digest));
        let absent = due.len() - self.returns.counted(due.len());
        for (place, made) in due.into_iter().enumerate() {
            if place < absent {
                made.stop_counting(workload);
            } else {
                made.start_counting(workload);
            }
        }
    }

    /// Updates which pieces count as outstanding, and removes expired reservations.
    pub fn expire(&mut self, now: Time, workload: &mut Workload) -> Vec<MissedReservation> {
        let mut missed = Vec::new();
        let returns = &mut self.returns;
        self.waiting.retain(|digest, made| {
            let time = made.reservation.time;
            if time.is_late(now) && !std::mem::replace(&mut made.is_late, true) {
                made.stop_counting(workload);
                returns.record(false);
            }
            if time.is_expired(now) {
                missed.push(MissedReservation {
                    digest: *digest,
                    request: made.reservation.request.clone(),
                    wait: Millis(time.due.since(time.made).as_millis() as u64),
                });
            }
            !time.is_expired(now)
        });
        self.update_counted(now, workload);
        missed
    }
}
