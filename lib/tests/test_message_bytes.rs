//! The encoded bytes of every message between daemons: a release must be able to decode those of the previous one.
//!
//! The snapshot has a line with the name and the bytes of each message. It changes only
//! with the version of the protocol; a rename in the code must not change it.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        gateway::{
            calibration::note::CalibrationNote,
            directory::{
                endpoint_entry::{
                    EndpointChanges, EndpointEntry, EndpointList, GoneEndpoint, StartTime,
                },
                evacuations::{EvacuationOrder, Evacuations},
            },
            engines::{
                note::{EngineNote, SpeedNote},
                store::{MAX_REPORT_ENDPOINTS, MAX_REPORT_SERVICES},
            },
            hashes::{EndpointHash, IncarnationHash, RouteHash, ServiceHash},
            loans::note::{AskNote, LoanNote, Stamp},
            peers::message::{
                BacklogNote, CalibrationReport, Datagram, EngineReport, Frame, Heartbeat, JobOrder,
                LinkReply, LinkRequest, LoadDigest, LoadNote, LoanReport, OriginReport, PROTOCOL,
                PeerNote, Phase, QuarantineReport, QueueNote, RateReport, RegionReport, RemoteNote,
                ReservationReport, Roster, WorkNote, decode, encode,
            },
            quarantine::note::{EvidenceNote, TerminatedNote, TrialNote},
            rates::note::{PermitNote, RateNote},
            request_digest::RequestDigest,
            reservations::note::{AnswerNote, ReservationNote, Verdict},
            rules::{
                allowed_regions::RegionHash,
                backlog::{Backlog, DeadlineBucket},
                connection_loan::MAX_LOANS,
                endpoint_rate::Claim,
                gossip::MAX_REMOTE_NOTES,
                stream_origin::StreamOrigin,
            },
            stages::job::{CustomerHash, JobEnd, PieceInput, ResultHandle},
            stream_origins::note::OriginNote,
            table_chunks::{ChunkHash, ChunkList, ChunkMark},
        },
        shared::units::{Capacity, Millis, Time},
    },
    serde::{Serialize, de::DeserializeOwned},
    std::fmt::{Debug, Write as _},
};

/// Lines of the snapshot.
#[derive(Default)]
struct Lines(String);

impl Lines {
    /// Adds a message's bytes, after checking that they decode to the same message.
    fn add<T>(&mut self, name: &str, message: &T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        let bytes = encode(message);
        assert_eq!(decode::<T>(&bytes).unwrap(), *message, "{name}");
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        writeln!(self.0, "{name}: {hex}").unwrap();
    }

    /// Adds a frame with this content.
    fn add_framed<T>(&mut self, name: &str, content: T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        // A frame number that takes two bytes.
        let number = 0x0102;
        self.add(name, &Frame { number, content });
    }
}

fn peer_notes() -> Vec<PeerNote> {
    vec![
        PeerNote {
            address: "10.1.2.3:7001".parse().unwrap(),
            age_ms: 1_234,
            phase: Phase::Starting,
            capacity: Capacity(250),
            suspect: false,
            region: None,
        },
        PeerNote {
            address: "[fd00::1:2]:7002".parse().unwrap(),
            age_ms: 70_000,
            phase: Phase::Stopping,
            capacity: Capacity(64_000),
            suspect: false,
            region: None,
        },
    ]
}

fn load(endpoint: u32, running: u32, prefill: u32) -> LoadNote {
    LoadNote {
        endpoint: EndpointHash(endpoint),
        running,
        prefill,
    }
}

fn queue(service: u32, endpoints: u32, short: bool, outstanding: u32) -> QueueNote {
    QueueNote {
        service: ServiceHash(service),
        endpoints,
        short,
        outstanding,
    }
}

fn work(service: u32, pieces: u32) -> WorkNote {
    WorkNote {
        service: ServiceHash(service),
        pieces,
    }
}

fn load_notes() -> Vec<LoadNote> {
    vec![load(0xdead_beef, 3, 90_000), load(7, 0, 12)]
}

fn heartbeat(phase: Phase, read_ms: Option<u32>) -> Heartbeat {
    Heartbeat {
        eras: Default::default(),
        protocol: PROTOCOL,
        host: "host-a".parse().unwrap(),
        run: 0x0102_0304_0506_0708,
        sequence: 65_537,
        address: "10.1.2.4:7003".parse().unwrap(),
        data_centre: "north".parse().unwrap(),
        region: None,
        phase,
        table: 41,
        fingerprint: u64::MAX - 1,
        table_until: None,
        evacuations: None,
        catalogue: 5_000_000_000,
        steady: true,
        read_ms,
        read_by: None,
        broadcasts: false,
        capacity: Capacity(1_500),
        exhausted: false,
        joining: true,
        asked: Vec::new(),
        peers: peer_notes(),
        loads: load_notes(),
        queues: vec![queue(0x0bad_cafe, 9, true, 700), queue(2, 0, false, 0)],
        work: vec![work(0x0bad_cafe, 44), work(5, 300)],
        backlogs: Vec::new(),
    }
}

/// Returns a heartbeat with outstanding pieces by scheduling order.
fn backlog_heartbeat() -> Heartbeat {
    let note = |service, all| BacklogNote {
        service: ServiceHash(service),
        own: Backlog::unordered(44),
        all,
    };
    let all = Backlog::unordered(700);
    Heartbeat {
        backlogs: vec![note(0x0bad_cafe, Some(all)), note(5, None)],
        ..bare_heartbeat()
    }
}

/// Returns a heartbeat without entries, with inverted flags.
fn bare_heartbeat() -> Heartbeat {
    Heartbeat {
        steady: false,
        broadcasts: true,
        joining: false,
        asked: Vec::new(),
        peers: Vec::new(),
        loads: Vec::new(),
        queues: Vec::new(),
        work: Vec::new(),
        backlogs: Vec::new(),
        ..heartbeat(Phase::Stopping, None)
    }
}

fn entry(number: u8, draining: bool) -> EndpointEntry {
    EndpointEntry {
        id: format!("endpoint-{number}").parse().unwrap(),
        service: "rerank".parse().unwrap(),
        address: format!("10.0.0.{number}:8080").parse().unwrap(),
        data_centre: "south".parse().unwrap(),
        slots: 16,
        draining,
        cold: Millis(0),
        started: None,
        version: None,
        revision: (1_000 + u64::from(number)).into(),
    }
}

fn changes() -> EndpointChanges {
    let gone = |name: &str, revision, unconfirmed| GoneEndpoint {
        id: name.parse().unwrap(),
        revision,
        unconfirmed,
    };
    EndpointChanges {
        revision: 70_001.into(),
        entries: vec![entry(1, false)],
        gone: vec![
            gone("endpoint-8", 69_999.into(), false),
            gone("endpoint-9", 70_001.into(), true),
        ],
        has_gap: false,
        held: Vec::new(),
    }
}

fn handles() -> Vec<ResultHandle> {
    vec![
        ResultHandle("10.0.0.1:8080/a1".into()),
        ResultHandle("10.0.0.2:8080/b2".into()),
    ]
}

fn order(input: PieceInput, objective_ms: i64, home: Option<&str>) -> JobOrder {
    JobOrder {
        digest: None,
        customer: None,
        service: "encode".parse().unwrap(),
        request: "request-1".into(),
        stage: 2,
        pieces: 24,
        input,
        remaining_ms: 9_000,
        objective_ms,
        rank: 3,
        result: 800_000,
        home: home.map(|name| name.parse().unwrap()),
        places: Vec::new(),
        moved: 2_400_001,
    }
}

#[test]
fn datagram_bytes() {
    let mut lines = Lines::default();
    let full = heartbeat(Phase::Ready, Some(345));
    lines.add("heartbeat", &Datagram::Heartbeat(Box::new(full)));
    let unread = heartbeat(Phase::Starting, None);
    lines.add(
        "heartbeat without a reading",
        &Datagram::Heartbeat(Box::new(unread)),
    );
    lines.add(
        "bare heartbeat",
        &Datagram::Heartbeat(Box::new(bare_heartbeat())),
    );
    let ordered = backlog_heartbeat();
    lines.add(
        "heartbeat with backlogs",
        &Datagram::Heartbeat(Box::new(ordered)),
    );
    let digest = LoadDigest {
        protocol: PROTOCOL,
        loads: load_notes(),
    };
    lines.add("loads", &Datagram::Loads(digest));
    let roster = Roster {
        protocol: PROTOCOL,
        peers: peer_notes(),
    };
    lines.add("roster", &Datagram::Roster(roster));
    insta::assert_snapshot!(lines.0);
}

/// Reports about requests during which endpoints terminated; the previous release ignores them.
#[test]
fn quarantine_bytes() {
    let mut lines = Lines::default();
    let note = EvidenceNote {
        digest: "0123456789abcdef00000000000000ff".parse().unwrap(),
        ended: vec![
            TerminatedNote {
                endpoint: IncarnationHash(0xdead_beef),
                age_ms: 70_000,
            },
            TerminatedNote {
                endpoint: IncarnationHash(7),
                age_ms: 12,
            },
        ],
        served_ms: None,
        sent_ms: Vec::new(),
    };
    let served = EvidenceNote {
        ended: Vec::new(),
        served_ms: Some(1_234),
        ..note.clone()
    };
    let report = QuarantineReport {
        protocol: PROTOCOL,
        notes: vec![note.clone(), served],
        sent_ms: Vec::new(),
        trials: Vec::new(),
    };
    lines.add("quarantine", &Datagram::Quarantine(report));
    let trial = TrialNote {
        digest: note.digest,
        age_ms: 300,
    };
    let later = QuarantineReport {
        protocol: PROTOCOL,
        notes: vec![note],
        sent_ms: vec![vec![Some(71_000), None]],
        trials: vec![trial],
    };
    lines.add(
        "quarantine with times and trials",
        &Datagram::Quarantine(later),
    );
    insta::assert_snapshot!(lines.0);
}

/// Advertised rates, which the previous release doesn't know: it ignores the datagram.
#[test]
fn rate_bytes() {
    let mut lines = Lines::default();
    let claim = RateNote {
        endpoint: IncarnationHash(u32::MAX),
        rate_milli: Some(1_100),
        age_ms: 70_000,
        share_micro: 183_333,
        claim: Some(Claim(3)),
    };
    let ended = RateNote {
        endpoint: IncarnationHash(7),
        rate_milli: None,
        age_ms: 12,
        share_micro: 0,
        claim: None,
    };
    let report = RateReport {
        protocol: PROTOCOL,
        address: "10.1.2.3:7001".parse().unwrap(),
        notes: vec![claim, ended],
        permits: Vec::new(),
    };
    lines.add("rates", &Datagram::Rates(report.clone()));
    let permit = PermitNote {
        endpoint: IncarnationHash(7),
        permits: 1,
        wait_ms: 909,
    };
    let report = RateReport {
        notes: Vec::new(),
        permits: vec![permit],
        ..report
    };
    lines.add("permits", &Datagram::Rates(report));
    insta::assert_snapshot!(lines.0);
}

/// Calibration of routes, which the previous release doesn't know: it ignores the datagram.
#[test]
fn calibration_bytes() {
    let mut lines = Lines::default();
    let samples = CalibrationNote {
        route: RouteHash(0xdead_beef),
        counts: vec![(0, 1), (10, 250), (25, 24)],
        factor_milli: None,
    };
    let state = CalibrationNote {
        route: RouteHash(7),
        counts: vec![(12, 160)],
        factor_milli: Some(1_400),
    };
    let report = CalibrationReport {
        protocol: PROTOCOL,
        notes: vec![samples, state],
    };
    lines.add("calibration", &Datagram::Calibration(report));
    insta::assert_snapshot!(lines.0);
}

/// Reservations, which the previous release doesn't know: it ignores the datagram.
#[test]
fn reservation_bytes() {
    let mut lines = Lines::default();
    let digest: RequestDigest = "0123456789abcdef00000000000000ff".parse().unwrap();
    let report = ReservationReport {
        protocol: PROTOCOL,
        address: "10.1.2.3:7001".parse().unwrap(),
        made: vec![ReservationNote {
            digest,
            due_ms: 1_234,
        }],
        claims: Vec::new(),
        answers: Vec::new(),
        releases: Vec::new(),
    };
    lines.add("made", &Datagram::Reservations(report.clone()));
    let asked = ReservationReport {
        made: Vec::new(),
        claims: vec![digest],
        releases: vec![digest],
        ..report.clone()
    };
    lines.add("claim and release", &Datagram::Reservations(asked));
    let granted = Verdict::Granted {
        waited: Millis(1_241),
        maker: "10.1.2.4:7001".parse().unwrap(),
    };
    let early = Verdict::Early { left: Millis(300) };
    let verdicts = [Verdict::Unknown, early, Verdict::Spent, granted];
    let answers = verdicts.map(|verdict| AnswerNote { digest, verdict });
    let answered = ReservationReport {
        made: Vec::new(),
        answers: answers.to_vec(),
        ..report
    };
    lines.add("answers", &Datagram::Reservations(answered));
    insta::assert_snapshot!(lines.0);
}

/// Regions, which the previous release doesn't know: it omits the fields, and ignores the datagram.
#[test]
fn region_bytes() {
    let mut lines = Lines::default();
    let mut beat = heartbeat(Phase::Ready, None);
    beat.region = Some(RegionHash(0xdead_beef));
    for note in &mut beat.peers {
        note.region = Some(RegionHash(7));
    }
    lines.add("heartbeat", &Datagram::Heartbeat(Box::new(beat)));
    let mut backlog = Backlog::default();
    backlog.add(DeadlineBucket::of(Time(0), Time(900_000)), 70_000);
    let note = RemoteNote {
        region: RegionHash(7),
        service: ServiceHash(u32::MAX),
        endpoints: 9,
        backlog,
    };
    let report = RegionReport {
        protocol: PROTOCOL,
        notes: vec![note],
    };
    lines.add("regions", &Datagram::Regions(report));
    insta::assert_snapshot!(lines.0);
}

/// First events at engines, which the previous release doesn't know: it ignores the datagram.
#[test]
fn engine_bytes() {
    let mut lines = Lines::default();
    let speed = |endpoint, weight, logs| SpeedNote {
        endpoint: IncarnationHash(endpoint),
        weight,
        logs,
    };
    let note = EngineNote {
        service: ServiceHash(0xdead_beef),
        sums: [640, 500, 70_000, 21, 90_123, 7, 44, 3_000_000, 0, 255],
        speeds: vec![speed(7, 43, -1_204), speed(u32::MAX, 400, 9)],
    };
    let report = EngineReport {
        protocol: PROTOCOL,
        address: "10.1.2.3:7001".parse().unwrap(),
        notes: vec![note],
    };
    lines.add("engines", &Datagram::Engines(report));
    insta::assert_snapshot!(lines.0);
}

/// A report about as many engines as are allowed in one datagram has at most 1,200 bytes, whatever its values.
#[test]
fn engine_report_size() {
    let speed = SpeedNote {
        endpoint: IncarnationHash(u32::MAX),
        weight: u16::MAX,
        logs: i32::MIN,
    };
    let note = EngineNote {
        service: ServiceHash(u32::MAX),
        sums: [u32::MAX; 10],
        speeds: vec![speed; MAX_REPORT_ENDPOINTS / MAX_REPORT_SERVICES],
    };
    let report = Datagram::Engines(EngineReport {
        protocol: PROTOCOL,
        address: "[2001:db8:1234:5678:9abc:def0:1234:5678]:65535"
            .parse()
            .unwrap(),
        notes: vec![note; MAX_REPORT_SERVICES],
    });
    let bytes = encode(&report).len();
    assert!(bytes <= 1_200, "{bytes} bytes");
}

/// A report with the most services allowed in one datagram fits into it.
#[test]
fn region_report_size() {
    let mut backlog = Backlog::default();
    for span in 0..9_000 {
        backlog.add(DeadlineBucket::of(Time(0), Time(0) + Millis(span)), 9);
    }
    let note = RemoteNote {
        region: RegionHash(u32::MAX),
        service: ServiceHash(u32::MAX),
        endpoints: 70_000,
        backlog,
    };
    let report = Datagram::Regions(RegionReport {
        protocol: PROTOCOL,
        notes: vec![note; MAX_REMOTE_NOTES],
    });
    let bytes = encode(&report).len();
    assert!(bytes <= 1_400, "{bytes} bytes");
}

/// Tables in chunks, which the previous release doesn't know: they aren't sent to a daemon whose heartbeats
/// lack the table's revision.
#[test]
fn part_bytes() {
    let mut lines = Lines::default();
    let table = Heartbeat {
        table_until: Some(70_003),
        ..bare_heartbeat()
    };
    lines.add(
        "heartbeat with the table's revision",
        &Datagram::Heartbeat(Box::new(table)),
    );
    lines.add_framed("list, asked for", LinkRequest::ChunkList);
    let wanted = vec![ChunkHash(7), ChunkHash(u64::MAX)];
    lines.add_framed("parts, asked for", LinkRequest::Chunks(wanted));
    let marks = [(7, 4_096), (u64::MAX, 17)].map(|(hash, length)| ChunkMark {
        hash: ChunkHash(hash),
        length,
    });
    let list = ChunkList {
        era: Default::default(),
        version: 41,
        fingerprint: u64::MAX - 1,
        revision: 70_003,
        marks: marks.to_vec(),
    };
    lines.add_framed("list", LinkReply::ChunkList(list));
    let batch = vec![0, 255, 7, 128];
    lines.add_framed("parts", LinkReply::Chunks { batch });
    lines.add_framed("busy", LinkReply::Busy);
    insta::assert_snapshot!(lines.0);
}

/// Fields that the previous release doesn't know: it omits them, and ignores them when decoding.
#[test]
fn later_field_bytes() {
    let mut lines = Lines::default();
    let order_to = |name: &str, revision| EvacuationOrder {
        data_centre: name.parse().unwrap(),
        revision,
        evacuated: true,
    };
    let orders = [
        order_to("north", 69_000.into()),
        order_to("south", 70_000.into()),
    ];
    let evacuated = Heartbeat {
        evacuations: Some(Evacuations::listed(70_003.into(), orders.iter())),
        ..bare_heartbeat()
    };
    lines.add(
        "heartbeat with evacuations",
        &Datagram::Heartbeat(Box::new(evacuated)),
    );
    let exhausted = Heartbeat {
        exhausted: true,
        ..bare_heartbeat()
    };
    lines.add(
        "heartbeat of a daemon without processor time",
        &Datagram::Heartbeat(Box::new(exhausted)),
    );
    let restarted = EndpointEntry {
        cold: Millis(2_900),
        started: Some(StartTime(1_700_000_000_000)),
        version: None,
        ..entry(1, false)
    };
    lines.add("entry of a cold endpoint", &restarted);
    let kept = JobOrder {
        places: vec!["north".parse().unwrap(), "west".parse().unwrap()],
        ..order(PieceInput::Key("key-1".into()), 1_200, None)
    };
    lines.add_framed("job with data centres", LinkRequest::Job(kept));
    insta::assert_snapshot!(lines.0);
}

/// The customer of a job is one field more, which is left out if it is unknown: an older daemon ignores it, and its own
/// jobs are read without it.
#[test]
fn customer_bytes() {
    let mut lines = Lines::default();
    let plain = order(PieceInput::Key("key-1".into()), 1_200, None);
    let known = JobOrder {
        customer: Some(CustomerHash(0x0102_0304)),
        ..plain.clone()
    };
    lines.add_framed("job of a customer", LinkRequest::Job(known));
    insta::assert_snapshot!(lines.0);
}

#[test]
fn phase_bytes() {
    let mut lines = Lines::default();
    lines.add("starting", &Phase::Starting);
    lines.add("ready", &Phase::Ready);
    lines.add("stopping", &Phase::Stopping);
    insta::assert_snapshot!(lines.0);
}

#[test]
fn ask_bytes() {
    let mut lines = Lines::default();
    lines.add_framed("table", LinkRequest::Table);
    lines.add_framed("endpoints", LinkRequest::Endpoints);
    lines.add_framed("changes", LinkRequest::Changes(70_000));
    let key = order(PieceInput::Key("key-1".into()), 1_200, None);
    lines.add_framed("job from a key", LinkRequest::Job(key));
    let results = order(PieceInput::Results(handles()), -20, Some("west"));
    lines.add_framed("job from results, overdue", LinkRequest::Job(results));
    lines.add_framed("cancel", LinkRequest::Cancel(0x0203));
    let release = LinkRequest::Release("encode".parse().unwrap(), handles());
    lines.add_framed("release", release);
    insta::assert_snapshot!(lines.0);
}

#[test]
fn reply_bytes() {
    let mut lines = Lines::default();
    let bytes = vec![0, 255, 7, 128];
    lines.add_framed("table", LinkReply::Table { bytes });
    let endpoints = LinkReply::Endpoints(EndpointList {
        revision: 70_002.into(),
        entries: vec![entry(1, false), entry(2, true)],
        unconfirmed: Vec::new(),
        held: Vec::new(),
    });
    lines.add_framed("endpoints", endpoints);
    let held = LinkReply::Endpoints(EndpointList {
        revision: 70_002.into(),
        entries: vec![entry(1, false)],
        unconfirmed: Vec::new(),
        held: vec![entry(2, false)],
    });
    lines.add_framed("endpoints held", held);
    lines.add_framed("changes", LinkReply::Changes(changes()));
    lines.add_framed("job made", LinkReply::Job(JobEnd::Completed(handles())));
    lines.add_framed("job late", LinkReply::Job(JobEnd::Late));
    lines.add_framed("job without inputs", LinkReply::Job(JobEnd::InputsGone));
    lines.add_framed("job failed", LinkReply::Job(JobEnd::Failed));
    lines.add_framed("done", LinkReply::Done);
    lines.add_framed("unable", LinkReply::Unable);
    insta::assert_snapshot!(lines.0);
}

/// The software version of an entry is one field more, which is left out if it is unknown; an older daemon ignores it, and
/// the reports about origins of streams as well.
#[test]
fn origin_bytes() {
    let mut lines = Lines::default();
    let versioned = EndpointEntry {
        version: Some("v1.1".parse().unwrap()),
        ..entry(1, false)
    };
    lines.add("entry with a version", &versioned);
    let digest = RequestDigest::from((0x0102_0304_0506_0708, u64::MAX));
    let note = |origin| OriginNote { digest, origin };
    let report = OriginReport {
        protocol: PROTOCOL,
        address: "10.1.2.4:7003".parse().unwrap(),
        notes: vec![note(Some(StreamOrigin(u64::MAX - 1))), note(None)],
        lookups: vec![digest],
    };
    lines.add("origins", &Datagram::Origins(report));
    insta::assert_snapshot!(lines.0);
}

/// A borrower's report and a lender's answer, also of the largest size.
#[test]
fn loan_bytes() {
    let mut lines = Lines::default();
    let note = |number, count| LoanNote {
        endpoint: IncarnationHash(number),
        count,
    };
    let report = LoanReport {
        protocol: PROTOCOL,
        address: "10.1.2.4:7003".parse().unwrap(),
        run: u64::MAX,
        stamp: Stamp(70_000),
        is_answer: false,
        loans: vec![note(7, 3)],
        asks: vec![AskNote {
            service: ServiceHash(u32::MAX),
            wanted: 60,
        }],
    };
    let loans = (0..MAX_LOANS as u32).map(|number| note(u32::MAX - number, 200));
    let answer = LoanReport {
        is_answer: true,
        loans: loans.collect(),
        asks: Vec::new(),
        ..report.clone()
    };
    lines.add("loans", &Datagram::Loans(report));
    let size = encode(&Datagram::Loans(answer)).len();
    assert!(size <= 1_400, "{size}");
    insta::assert_snapshot!(lines.0);
}
