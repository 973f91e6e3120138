//! The connections that this daemon lent to others and borrowed from them.
//!
//! Each message of a borrower states all that it keeps of a lender, and the answer all that is lent to it, so that a message
//! that is lost or overtaken is replaced by the next one. The store has no clock and sends nothing: callers pass the time and
//! send the messages that it returns.

use {
    crate::{
        gateway::{
            hashes::IncarnationHash,
            loans::note::{AskNote, BorrowerReport, LoanNote, Stamp},
            rules::connection_loan::{
                ANSWER_TIME, FRUITLESS_PAUSE, LOAN_TIME, REPORT_INTERVAL, Room, decayed_peak,
                kept_until, lend,
            },
        },
        shared::{
            ids::ServiceId,
            units::{Millis, Time},
        },
    },
    foldhash::HashMap,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Connections of one endpoint that a lender lent to this daemon.
#[derive(Debug, Clone, Copy)]
struct Borrowed {
    endpoint: IncarnationHash,
    /// Number on which requests may be started.
    granted: u32,
    /// Number that the last report named as kept.
    kept: u32,
}

/// A daemon that lends connections to this one.
#[derive(Debug, Clone, Default)]
struct Lender {
    loans: Vec<Borrowed>,
    /// Stamp and time of the last report to it.
    reported: Option<(Stamp, Time)>,
    /// Time of the report to which its last answer belongs.
    confirmed: Option<Time>,
}

impl Lender {
    /// Returns whether requests may be started on its loans.
    fn is_confirmed(&self, now: Time) -> bool {
        self.confirmed
            .is_some_and(|confirmed| now < confirmed + LOAN_TIME)
    }

    /// Returns a stamp for a report that is sent now, later than that of the last one.
    fn next_stamp(&self, now: Time) -> Stamp {
        let stamp = Stamp(now.since(Time::default()).as_millis() as u32);
        let last = self.reported.map(|(last, _)| last);
        last.filter(|last| !stamp.is_after(*last))
            .map_or(stamp, |last| Stamp(last.0.wrapping_add(1)))
    }
}

/// A daemon that borrows connections of this one.
#[derive(Debug, Clone)]
struct Borrower {
    /// Run of its process, and stamp of its last report.
    run: u64,
    stamp: Stamp,
    loans: BTreeMap<IncarnationHash, u32>,
    /// Time until which its loans are kept if it reports nothing more.
    until: Time,
}

/// A question for connections of a service.
#[derive(Debug, Clone)]
struct Ask {
    at: Time,
    wanted: u32,
    /// Daemons that haven't answered, and those to which the question hasn't been sent.
    missing: Vec<SocketAddr>,
    unsent: Vec<SocketAddr>,
    /// Set once a daemon has lent something.
    is_fruitful: bool,
}

impl Ask {
    fn is_pending(&self, now: Time) -> bool {
        !self.missing.is_empty() && now < self.at + ANSWER_TIME
    }
}

/// The connections that this daemon lent and borrowed.
#[derive(Debug, Default)]
pub struct ConnectionLoans {
    lenders: BTreeMap<SocketAddr, Lender>,
    borrowers: HashMap<SocketAddr, Borrower>,
    asks: BTreeMap<ServiceId, Ask>,
    /// Largest number of requests in flight of lately, at endpoints with borrowed connections.
    peaks: HashMap<IncarnationHash, u32>,
    /// Sums of the loans by endpoint, which hold until a time.
    sums: HashMap<IncarnationHash, LoanSum>,
    sums_until: Time,
}

/// Connections of one endpoint that are lent, and those that are borrowed and may be used.
#[derive(Debug, Clone, Copy, Default)]
struct LoanSum {
    lent: u32,
    borrowed: u32,
}

impl ConnectionLoans {
    /// Returns whether nothing is lent, borrowed or asked for.
    pub fn is_empty(&self) -> bool {
        self.lenders.is_empty() && self.borrowers.is_empty() && self.asks.is_empty()
    }

    /// Returns the number of requests that this daemon may have in flight at an endpoint, of its share of the connections.
    pub fn limit(&self, now: Time, endpoint: IncarnationHash, share: u32) -> u32 {
        if self.sums.is_empty() || share == u32::MAX {
            return share;
        }
        let LoanSum { lent, borrowed } = self.sum(now, endpoint);
        share.saturating_add(borrowed).saturating_sub(lent)
    }

    fn sum(&self, now: Time, endpoint: IncarnationHash) -> LoanSum {
        let mut sum = self.sums.get(&endpoint).copied().unwrap_or_default();
        if now >= self.sums_until {
            let here = self.granted(now).filter(|loan| loan.endpoint == endpoint);
            sum.borrowed = here.map(|loan| loan.granted).sum();
        }
        sum
    }

    /// Returns the loans on which requests may be started.
    fn granted(&self, now: Time) -> impl Iterator<Item = &Borrowed> {
        let lenders = self.lenders.values();
        let confirmed = lenders.filter(move |lender| lender.is_confirmed(now));
        confirmed.flat_map(|lender| &lender.loans)
    }

    /// Adds up the loans after a change.
    fn update_sums(&mut self, now: Time) {
        let mut sums: HashMap<IncarnationHash, LoanSum> = HashMap::default();
        for loan in self.granted(now) {
            sums.entry(loan.endpoint).or_default().borrowed += loan.granted;
        }
        let borrowers = self.borrowers.values();
        for (endpoint, count) in borrowers.flat_map(|borrower| &borrower.loans) {
            sums.entry(*endpoint).or_default().lent += count;
        }
        let lenders = self.lenders.values();
        let ends = lenders.filter_map(|lender| Some(lender.confirmed? + LOAN_TIME));
        let end = ends.filter(|end| now < *end).min();
        self.sums_until = end.unwrap_or(now + LOAN_TIME);
        self.sums = sums;
    }

    /// Returns the numbers of connections that are lent and that are borrowed.
    pub fn totals(&self, now: Time) -> (u32, u32) {
        let lent = self.sums.values().map(|sum| sum.lent).sum();
        (lent, self.granted(now).map(|loan| loan.granted).sum())
    }

    /// Begins to ask for connections of a service, unless that is going on or has just been fruitless. Returns whether it
    /// began.
    pub fn ask(
        &mut self,
        now: Time,
        service: &ServiceId,
        wanted: u32,
        draw: impl FnOnce() -> Vec<SocketAddr>,
    ) -> bool {
        if let Some(ask) = self.asks.get(service) {
            let is_paused = !ask.is_fruitful && now < ask.at + FRUITLESS_PAUSE;
            if ask.is_pending(now) || is_paused {
                return false;
            }
        }
        let lenders = draw();
        let ask = Ask {
            at: now,
            wanted,
            missing: lenders.clone(),
            unsent: lenders,
            is_fruitful: false,
        };
        let may_answer = !ask.missing.is_empty();
        self.asks.insert(service.clone(), ask);
        may_answer
    }

    /// Returns whether answers are expected to a question for connections of a service.
    pub fn is_asking(&self, now: Time, service: &ServiceId) -> bool {
        self.asks
            .get(service)
            .is_some_and(|ask| ask.is_pending(now))
    }

    /// Returns the reports that are due now, by lender. `own` returns this daemon's share of an endpoint's connections with
    /// its requests in flight there; `None` for an endpoint that is gone. Lenders for which `is_alive` is false get none, and
    /// nothing is started on their loans.
    pub fn reports(
        &mut self,
        now: Time,
        own: impl Fn(IncarnationHash) -> Option<Room>,
        is_alive: impl Fn(SocketAddr) -> bool,
        hash: impl Fn(&ServiceId) -> AskNote,
    ) -> Vec<(SocketAddr, Stamp, BorrowerReport)> {
        self.update_kept(now, own);
        for (address, lender) in &mut self.lenders {
            if !is_alive(*address) {
                lender.confirmed = None;
            }
        }
        let mut asks: BTreeMap<SocketAddr, Vec<AskNote>> = BTreeMap::new();
        for (service, ask) in &mut self.asks {
            for address in std::mem::take(&mut ask.unsent) {
                let note = hash(service);
                let wanted = ask.wanted;
                asks.entry(address)
                    .or_default()
                    .push(AskNote { wanted, ..note });
            }
        }
        for address in asks.keys() {
            self.lenders.entry(*address).or_default();
        }
        let mut reports = Vec::new();
        for (address, lender) in &mut self.lenders {
            let asks = asks.remove(address).unwrap_or_default();
            let is_due = lender
                .reported
                .is_none_or(|(_, at)| now.since(at) >= REPORT_INTERVAL.to_duration());
            if asks.is_empty() && !is_due {
                continue;
            }
            let kept = lender.loans.iter().filter(|loan| loan.kept > 0);
            let kept = kept.map(|loan| LoanNote {
                endpoint: loan.endpoint,
                count: loan.kept,
            });
            let kept = kept.collect();
            let stamp = lender.next_stamp(now);
            lender.reported = Some((stamp, now));
            reports.push((*address, stamp, BorrowerReport { kept, asks }));
        }
        // A report without loans has given the last ones back.
        self.lenders.retain(|_, lender| {
            let is_used = lender.loans.iter().any(|loan| loan.kept > 0);
            let answer_time = lender.reported.map(|(_, at)| at + LOAN_TIME);
            is_used || answer_time.is_some_and(|end| now < end)
        });
        self.expire(now);
        self.update_sums(now);
        reports
    }

    /// Updates how much of each loan is kept: what requests in flight or the peak of lately need beyond this daemon's own
    /// share.
    fn update_kept(&mut self, now: Time, own: impl Fn(IncarnationHash) -> Option<Room>) {
        let mut needed: HashMap<IncarnationHash, u32> = HashMap::default();
        let mut peaks = HashMap::default();
        let loans = self.lenders.values().flat_map(|lender| &lender.loans);
        for endpoint in loans.map(|loan| loan.endpoint) {
            let Some(Room {
                limit: share,
                running,
            }) = own(endpoint)
            else {
                continue;
            };
            let known = self.peaks.get(&endpoint).copied();
            // A new loan is kept for a while before it is used.
            let LoanSum { lent, borrowed } = self.sum(now, endpoint);
            let known = known.unwrap_or(share.saturating_add(borrowed));
            let peak = decayed_peak(known, running);
            peaks.insert(endpoint, peak);
            let own = share.saturating_sub(lent);
            needed.insert(endpoint, peak.saturating_sub(own));
        }
        self.peaks = peaks;
        for lender in self.lenders.values_mut() {
            for loan in &mut lender.loans {
                let needed = needed.entry(loan.endpoint).or_default();
                let most = loan.granted.max(loan.kept);
                loan.kept = most.min(*needed);
                loan.granted = loan.granted.min(loan.kept);
                *needed -= loan.kept;
            }
            lender.loans.retain(|loan| loan.kept > 0);
        }
    }

    /// Forgets loans of borrowers that are silent for too long, and old questions.
    fn expire(&mut self, now: Time) {
        self.borrowers
            .retain(|_, borrower| now < borrower.until && !borrower.loans.is_empty());
        self.asks
            .retain(|_, ask| ask.is_pending(now) || now < ask.at + FRUITLESS_PAUSE);
    }

    /// Takes a lender's answer: all that it lends to this daemon. An answer to another report than the last one is ignored.
    /// Returns whether a loan has grown.
    pub fn take_answer(
        &mut self,
        now: Time,
        from: SocketAddr,
        echo: Stamp,
        notes: &[LoanNote],
    ) -> bool {
        let Some(lender) = self.lenders.get_mut(&from) else {
            return false;
        };
        let Some((_, reported)) = lender.reported.filter(|(stamp, _)| *stamp == echo) else {
            return false;
        };
        lender.confirmed = Some(reported);
        let mut has_grown = false;
        for loan in &mut lender.loans {
            loan.granted = 0;
        }
        for note in notes {
            let known = lender.loans.iter_mut();
            match known
                .into_iter()
                .find(|loan| loan.endpoint == note.endpoint)
            {
                Some(loan) => {
                    has_grown |= note.count > loan.kept;
                    loan.granted = note.count;
                    loan.kept = loan.kept.max(note.count);
                }
                None => {
                    has_grown |= note.count > 0;
                    lender.loans.push(Borrowed {
                        endpoint: note.endpoint,
                        granted: note.count,
                        kept: note.count,
                    });
                }
            }
            if has_grown {
                self.peaks.remove(&note.endpoint);
            }
        }
        for ask in self.asks.values_mut().filter(|ask| ask.is_pending(now)) {
            let before = ask.missing.len();
            ask.missing.retain(|address| *address != from);
            ask.is_fruitful |= has_grown && ask.missing.len() < before;
        }
        self.update_sums(now);
        has_grown
    }

    /// Takes a borrower's report as the lender, and returns all that is lent to it. `rooms` returns the endpoints of a service
    /// with this daemon's share and its requests in flight, and `share` the share of one endpoint; `longest` is the longest time
    /// that a request takes. Returns `None` for a report that came too late.
    pub fn take_report(
        &mut self,
        now: Time,
        sender: (SocketAddr, u64, Stamp),
        report: &BorrowerReport,
        longest: Millis,
        rooms: impl Fn(&AskNote) -> Vec<(IncarnationHash, Room)>,
        share: impl Fn(IncarnationHash) -> Option<u32>,
    ) -> Option<Vec<LoanNote>> {
        let (from, run, stamp) = sender;
        let known = self.borrowers.get(&from).filter(|known| known.run == run);
        if known.is_some_and(|known| !stamp.is_after(known.stamp)) {
            return None;
        }
        // The connections of an earlier process of the borrower ended with it.
        let kept = report.kept.iter().filter(|note| note.count > 0);
        let loans = kept.map(|note| (note.endpoint, note.count)).collect();
        let borrower = Borrower {
            run,
            stamp,
            loans,
            until: kept_until(now, longest),
        };
        self.borrowers.insert(from, borrower);
        self.update_sums(now);
        for ask in &report.asks {
            let shares = rooms(ask);
            let own = shares
                .iter()
                .map(|(endpoint, room)| self.own_room(now, *endpoint, *room));
            let lent = lend(&own.collect::<Vec<Room>>(), ask.wanted);
            let Some(borrower) = self.borrowers.get_mut(&from) else {
                continue;
            };
            for ((endpoint, _), count) in shares.iter().zip(lent).filter(|(_, count)| *count > 0) {
                *borrower.loans.entry(*endpoint).or_default() += count;
            }
            self.update_sums(now);
        }
        let loans = &self.borrowers.get(&from)?.loans;
        let notes = loans.iter().map(|(endpoint, count)| {
            // A share that has become smaller than what is lent of it is lent no more.
            let share = share(*endpoint).unwrap_or_default();
            let excess = self.sum(now, *endpoint).lent.saturating_sub(share);
            LoanNote {
                endpoint: *endpoint,
                count: count.saturating_sub(excess),
            }
        });
        Some(notes.collect())
    }

    /// Returns what this daemon may lend of its share of an endpoint: nothing that it has borrowed itself.
    fn own_room(&self, now: Time, endpoint: IncarnationHash, room: Room) -> Room {
        let limit = self.limit(now, endpoint, room.limit);
        let own = room.limit.saturating_sub(self.sum(now, endpoint).lent);
        Room {
            limit: limit.min(room.running.saturating_add(own)),
            ..room
        }
    }
}
