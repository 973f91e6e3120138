//! `hazelyoke-bench forwarding`: how the decisions of a forwarding daemon grow with the fleet.

use {
    anyhow::Result,
    argh::FromArgs,
    hazelyoke_lib::{
        gateway::{
            dialect::{Prompt, PromptPart},
            directory::catalogue::EndpointEntry,
            peers::{
                membership::{Identity, Peers, SelfReport},
                message::{Heartbeat, LoadNote, Phase, QueueNote, WorkNote, decode, encode},
            },
            routing::endpoint_state::{EndpointStates, Placement},
            rules::retry_budget::{BudgetLimits, WindowBudget},
            stages::{
                batch_call::CallEnd,
                batch_queue::BatchQueue,
                job::{JobId, PieceEnd, PieceInput, ResultHandle, StageJob},
            },
            table::BatchLimits,
        },
        shared::units::{ByteSize, Capacity, Millis, Share, Time},
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time for which each thing is measured.
const MEASURED: Duration = Duration::from_millis(300);

/// time of a forwarding daemon's decisions at growing sizes
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "forwarding")]
pub struct Forwarding {}

impl Forwarding {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error when a name of the made-up fleet can't be parsed.
    pub fn run(self) -> Result<bool> {
        for endpoints in [9, 18, 86, 600] {
            let us = choice_us(endpoints)?;
            println!("choice among {endpoints} endpoints: {us:.2} us");
        }
        for waiting in [10, 100, 1_000] {
            let us = piece_us(waiting)?;
            println!("planning with {waiting} jobs waiting: {us:.2} us a piece");
        }
        for daemons in [7, 60, 360] {
            let (bytes, send_us, hear_us) = heartbeat(daemons)?;
            println!(
                "heartbeat among {daemons} daemons: {bytes} bytes, {send_us:.1} us to build, \
                 {hear_us:.1} us to hear"
            );
        }
        Ok(true)
    }
}

/// Repeats an action for a while; returns microseconds for each time.
fn time_of(mut action: impl FnMut()) -> f64 {
    let begun = Instant::now();
    let mut times = 0u32;
    while begun.elapsed() < MEASURED {
        action();
        times += 1;
    }
    begun.elapsed().as_secs_f64() * 1e6 / f64::from(times)
}

fn entry(number: usize, service: &str) -> Result<Arc<EndpointEntry>> {
    Ok(Arc::new(EndpointEntry {
        id: format!("endpoint-{number}").parse()?,
        service: service.parse()?,
        address: SocketAddr::from(([10, 1, (number / 250) as u8, (number % 250) as u8], 8000)),
        data_centre: format!("centre-{}", number % 7).parse()?,
        slots: 64,
        draining: false,
        revision: number as u64,
    }))
}

fn choice_us(endpoints: usize) -> Result<f64> {
    let mut fleet = EndpointStates::default();
    for number in 0..endpoints {
        fleet.put(entry(number, "llm")?);
    }
    let (here, service) = ("centre-0".parse()?, "llm".parse()?);
    let mut turn = 0;
    let us = time_of(|| {
        turn += 1;
        let part = |id, tokens| PromptPart { id, tokens };
        let prompt = Prompt {
            parts: vec![
                part(turn % 3, 512),
                part(turn % 73, 4_870),
                part(turn, 6_610),
            ],
            tokens_in: 11_992,
            tokens_out: 300,
        };
        let demand = Placement {
            prompt: &prompt,
            affinity: true,
            tried: &[],
            inputs: &[],
            most: u32::MAX,
        };
        let now = Time(turn * 1_000);
        if let Some(choice) = fleet.choose(now, &here, &service, &demand) {
            fleet.sent(now, &choice.entry.id, &prompt, choice.uncached);
        }
    });
    Ok(us)
}

/// Plans and ends calls with a steady number of jobs of four pieces waiting.
fn piece_us(waiting: u64) -> Result<f64> {
    let limits = BatchLimits {
        slots: 1,
        pieces: 14,
        call_ms: 240.0,
        piece_ms: 15.0,
        room: ByteSize(1 << 40),
        keep: Millis(4_000),
    };
    let budget = BudgetLimits {
        ratio: Share(0.2),
        slack: 54.0,
        window: Millis(10_000),
    };
    let mut queue = BatchQueue::new(limits, WindowBudget::new(budget, Time(0)));
    let endpoints = (0..5)
        .map(|number| entry(number, "rank"))
        .collect::<Result<Vec<_>>>()?;
    queue.set_endpoints(&endpoints);
    let mut now = Time(0);
    let mut next = 0;
    let mut pieces = 0;
    let turn_us = time_of(|| {
        now = now + Millis(100);
        while (queue.waiting() as u64) < waiting * 4 {
            next += 1;
            queue.add(now, JobId(next), job(next, now));
        }
        for call in queue.plan(now) {
            let made =
                |n| PieceEnd::Made(ResultHandle(format!("10.1.0.1:80/{}-{n}", call.id).into()));
            let ends: Vec<PieceEnd> = (0..call.pieces.len()).map(made).collect();
            let handles: Vec<ResultHandle> = ends
                .iter()
                .filter_map(|end| match end {
                    PieceEnd::Made(handle) => Some(handle.clone()),
                    _ => None,
                })
                .collect();
            pieces += ends.len();
            queue.call_ended(now, call.id, CallEnd::Answered(ends));
            queue.released(&handles);
        }
        queue.take_ended();
    });
    let turns = MEASURED.as_secs_f64() * 1e6 / turn_us;
    Ok(turn_us * turns / pieces as f64)
}

fn job(number: u64, now: Time) -> StageJob {
    StageJob {
        request: format!("request-{number}").into(),
        stage: 1,
        pieces: 4,
        input: PieceInput::Key("7c1e07a291bd".into()),
        deadline: now + Millis(60_000_000),
        objective: now + Millis(2_000),
        rank: (number % 3) as u32,
        result: ByteSize(60_000),
        home: None,
        moved: ByteSize(60_000),
    }
}

fn heartbeat(daemons: u16) -> Result<(usize, f64, f64)> {
    let identity = |number: u16| -> Result<Identity> {
        Ok(Identity {
            host: format!("host-{number}").parse()?,
            data_centre: format!("centre-{}", number % 7).parse()?,
            address: SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7740)),
            run: u64::from(number),
            capacity: Capacity(250),
        })
    };
    let beliefs = SelfReport {
        phase: Phase::Ready,
        table: 7,
        fingerprint: u64::MAX,
        catalogue: 100_000,
        steady: true,
        read_ms: Some(40),
        loads: (0..40).map(|n| LoadNote(n * 7_019_777, 9, 9_000)).collect(),
        queues: (0..2)
            .map(|n| QueueNote(n * 7_019_777, 5, false, 90))
            .collect(),
        work: (0..3).map(|n| WorkNote(n * 7_019_777, 90)).collect(),
        services: Vec::new(),
    };
    let mut me = Peers::new(identity(0)?, &[]);
    let mut others = (1..daemons)
        .map(|number| Ok(Peers::new(identity(number)?, &[])))
        .collect::<Result<Vec<_>>>()?;
    let beats: Vec<Heartbeat> = others
        .iter_mut()
        .map(|other| other.heartbeat(Time(0), beliefs.clone()).0)
        .collect();
    for beat in beats {
        me.heard(Time(0), beat);
    }
    let mut bytes = Vec::new();
    let send_us = time_of(|| bytes = encode(&me.heartbeat(Time(0), beliefs.clone()).0));
    let mut listener = Peers::new(identity(daemons)?, &[]);
    let mut heard = 0;
    let hear_us = time_of(|| {
        if let Ok(beat) = decode::<Heartbeat>(&bytes) {
            listener.heard(Time(heard), beat);
            heard += 1;
        }
    });
    Ok((bytes.len(), send_us, hear_us))
}
