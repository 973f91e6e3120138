//! The reservations in which this daemon has a part, and the messages about them.
//!
//! The store has no clock and no socket: callers pass the time of the daemon's clock and the holders of a request, and
//! send the messages that the store collects.

use {
    crate::{
        gateway::{
            request_digest::RequestDigest,
            request_memory::{outbox::Outbox, queries::PendingQueries},
            reservations::{
                held::HeldReservations,
                made::{MadeReservations, MissedReservation, NewReservation},
                note::{AnswerNote, ReservationEntries, ReservationNote, Verdict, to_wire},
            },
            rules::reservation::{LONGEST_WAIT, ReservedTime},
            stages::workload::Workload,
        },
        shared::{
            ids::ServiceId,
            units::{Millis, Time},
        },
    },
    foldhash::{HashMap, HashSet},
    std::net::SocketAddr,
};

/// Maximum number of peers of which it is remembered that they sent invalid entries: more than a fleet has.
const UNCLEAR_LIMIT: usize = 1_024;

/// The start of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimStart {
    /// The claim is decided without other daemons.
    Decided(Verdict),
    /// The holders are asked; the claim has to be ended by [`Reservations::end_claim`].
    Asked,
    /// The same request is being claimed already.
    Duplicate,
}

/// The reservations in which this daemon has a part.
#[derive(Debug)]
pub struct Reservations {
    local: SocketAddr,
    made: MadeReservations,
    held: HeldReservations,
    claims: PendingQueries<Verdict>,
    outbox: Outbox<ReservationEntries>,
    /// Peers that sent entries that can't be valid.
    unclear: HashSet<SocketAddr>,
}

impl Reservations {
    /// Creates the store of a daemon that others reach at `local`.
    pub fn new(local: SocketAddr) -> Self {
        Self {
            local,
            made: MadeReservations::default(),
            held: HeldReservations::default(),
            claims: PendingQueries::default(),
            outbox: Outbox::default(),
            unclear: HashSet::default(),
        }
    }

    /// Returns whether this daemon neither made nor holds a reservation, nor remembers a grant.
    pub fn is_idle(&self) -> bool {
        self.made.is_empty() && self.held.is_empty()
    }

    /// Returns the number of waiting reservations that this daemon made.
    pub fn waiting(&self) -> usize {
        self.made.len()
    }

    /// Returns the number of pieces of a service that belong to waiting reservations that this daemon made.
    pub fn pieces(&self, service: &ServiceId) -> u32 {
        self.made.pieces(service)
    }

    /// Claims the reservation of a request that would be refused. If this daemon is a holder that knows the
    /// reservation, no other daemon is asked.
    pub fn begin_claim(
        &mut self,
        now: Time,
        digest: RequestDigest,
        holders: &[SocketAddr],
        workload: &mut Workload,
    ) -> ClaimStart {
        let local = if holders.contains(&self.local) || self.held.is_spent(now, &digest) {
            self.held.claim(now, digest)
        } else {
            Verdict::Unknown
        };
        let others = self.others(holders);
        match local {
            Verdict::Granted { maker, .. } => {
                self.release(digest, others, maker, workload);
                ClaimStart::Decided(local)
            }
            Verdict::Early { .. } | Verdict::Spent => ClaimStart::Decided(local),
            Verdict::Unknown if others.is_empty() => ClaimStart::Decided(local),
            Verdict::Unknown => self.ask(digest, others),
        }
    }

    fn ask(&mut self, digest: RequestDigest, holders: Vec<SocketAddr>) -> ClaimStart {
        if !self.claims.begin(digest, holders.clone()) {
            return ClaimStart::Duplicate;
        }
        for holder in holders {
            self.entries(holder).claims.push(digest);
        }
        ClaimStart::Asked
    }

    /// Returns whether a claim is decided.
    pub fn is_decided(&self, digest: &RequestDigest) -> bool {
        self.claims.is_decided(digest)
    }

    /// Ends a claim, with the answers that have arrived.
    pub fn end_claim(&mut self, digest: &RequestDigest) -> Verdict {
        self.claims.end(digest)
    }

    /// Makes a reservation. Returns whether it was made; otherwise this daemon, or the customer at this daemon, has as
    /// many as allowed.
    pub fn reserve(
        &mut self,
        now: Time,
        reservation: NewReservation,
        holders: &[SocketAddr],
        workload: &mut Workload,
    ) -> bool {
        let (digest, time) = (reservation.digest, reservation.time);
        if !self.made.add(reservation, workload) {
            return false;
        }
        if holders.contains(&self.local) {
            self.held.hold(now, digest, time, self.local);
        }
        let due = Millis(time.due.since(now).as_millis() as u64);
        let due_ms = to_wire(due);
        for holder in self.others(holders) {
            let note = ReservationNote { digest, due_ms };
            self.entries(holder).made.push(note);
        }
        true
    }

    /// Ends the reservation of a request that was admitted without a claim. The holders are told even if this daemon
    /// doesn't know the reservation, so that the maker learns that the caller returned. Returns whether this daemon
    /// knows it.
    pub fn end_admitted(
        &mut self,
        now: Time,
        digest: RequestDigest,
        holders: &[SocketAddr],
        workload: &mut Workload,
    ) -> bool {
        let held = self.held.end(now, digest);
        let is_made = self.made.returned(&digest, workload);
        if is_made {
            self.held.mark_spent(now, digest);
        }
        let maker = held.unwrap_or(self.local);
        self.release(digest, self.others(holders), maker, workload);
        is_made || held.is_some()
    }

    /// Takes the entries of another daemon. Returns whether this is the first time that it sent an invalid one.
    pub fn receive(
        &mut self,
        now: Time,
        from: SocketAddr,
        entries: &ReservationEntries,
        workload: &mut Workload,
    ) -> bool {
        let mut is_unclear = false;
        for note in &entries.made {
            let due = Millis(u64::from(note.due_ms));
            if due > LONGEST_WAIT {
                is_unclear = true;
            } else {
                self.hold(now, note.digest, due, from);
            }
        }
        for digest in &entries.releases {
            self.take_release(now, from, *digest, workload);
        }
        for digest in &entries.claims {
            let verdict = self.held.claim(now, *digest);
            let digest = *digest;
            let answer = AnswerNote { digest, verdict };
            self.entries(from).answers.push(answer);
        }
        for answer in &entries.answers {
            self.take_answer(now, from, answer, workload);
        }
        is_unclear && self.unclear.len() < UNCLEAR_LIMIT && self.unclear.insert(from)
    }

    fn hold(&mut self, now: Time, digest: RequestDigest, due: Millis, maker: SocketAddr) {
        let time = ReservedTime {
            made: now,
            due: now + due,
        };
        if self.held.hold(now, digest, time, maker) {
            // The request was granted a reservation lately and gets no second one.
            self.entries(maker).releases.push(digest);
        }
    }

    /// Ends a reservation. The daemon that admitted the request may not know the maker, which is told here.
    fn take_release(
        &mut self,
        now: Time,
        from: SocketAddr,
        digest: RequestDigest,
        workload: &mut Workload,
    ) {
        self.made.returned(&digest, workload);
        let maker = self.held.end(now, digest);
        if let Some(maker) = maker.filter(|maker| *maker != from && *maker != self.local) {
            self.entries(maker).releases.push(digest);
        }
    }

    fn take_answer(
        &mut self,
        now: Time,
        from: SocketAddr,
        answer: &AnswerNote,
        workload: &mut Workload,
    ) {
        let AnswerNote { digest, verdict } = *answer;
        let others = self.claims.take(&digest, from, verdict);
        let Verdict::Granted { maker, .. } = verdict else {
            return;
        };
        if let Some(others) = others {
            self.held.mark_spent(now, digest);
            self.release(digest, others, maker, workload);
        } else if !self.held.is_spent(now, &digest) {
            // The request was refused before the grant arrived. Its pieces needn't count any more.
            self.held.mark_spent(now, digest);
            self.release(digest, Vec::new(), maker, workload);
        }
    }

    /// Reports the end of a reservation to some holders and to its maker.
    fn release(
        &mut self,
        digest: RequestDigest,
        holders: Vec<SocketAddr>,
        maker: SocketAddr,
        workload: &mut Workload,
    ) {
        let mut targets = holders;
        if maker == self.local {
            self.made.returned(&digest, workload);
        } else if !targets.contains(&maker) {
            targets.push(maker);
        }
        for target in targets {
            self.entries(target).releases.push(digest);
        }
    }

    /// Removes what has expired, and returns the reservations of this daemon that weren't claimed.
    pub fn expire(&mut self, now: Time, workload: &mut Workload) -> Vec<MissedReservation> {
        self.held.expire(now);
        self.made.expire(now, workload)
    }

    /// Takes the entries that are to be sent, by their recipients.
    pub fn take_entries(&mut self) -> HashMap<SocketAddr, ReservationEntries> {
        self.outbox.take()
    }

    fn entries(&mut self, to: SocketAddr) -> &mut ReservationEntries {
        self.outbox.entries(to)
    }

    fn others(&self, holders: &[SocketAddr]) -> Vec<SocketAddr> {
        let others = holders.iter().filter(|holder| **holder != self.local);
        others.copied().collect()
    }
}
